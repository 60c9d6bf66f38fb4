package routing

import (
	"time"

	"dalehook/internal/cluster"
)

// TooOld reports whether a sample whose oldest token comes from the given
// version is over the staleness bound. An unknown version is not known to be.
func TooOld(oldest, newest cluster.Version, bound int64) bool {
	return oldest > 0 && int64(newest-oldest) > bound
}

// BoundForecast is what is known of a running sample and of its model's
// versions.
type BoundForecast struct {
	Oldest cluster.Version
	Newest cluster.Version
	Bound  int64
	// VersionEvery is the time from one version to the next, zero when unknown;
	// SinceNewest is the age of the newest one.
	VersionEvery time.Duration
	SinceNewest  time.Duration
	// Remaining is the time that the sample still needs, Restart the time that it
	// would need from nothing.
	Remaining time.Duration
	Restart   time.Duration
}

// forecastMargin is the part of a version's interval by which the next version
// may come late before the forecast counts on it.
const forecastMargin = 4

// StopEarly reports whether a sample is to be stopped and run again now, rather
// than at its end: it will be over the bound, and a new attempt would not be.
func StopEarly(f BoundForecast) bool {
	if f.VersionEvery <= 0 || f.Oldest <= 0 {
		return false
	}
	late := f.SinceNewest + f.Remaining - f.VersionEvery/forecastMargin
	atEnd := f.Newest + cluster.Version(max(late, 0)/f.VersionEvery)
	if !TooOld(f.Oldest, atEnd, f.Bound) {
		return false
	}
	early := f.SinceNewest + f.Restart + f.VersionEvery/forecastMargin
	passed := int64(early / f.VersionEvery)
	return passed <= f.Bound
}
