package membership

import (
	"math"
	"time"
)

// The bounds of how time-outs adapt. See docs/design/membership.md.
const (
	// maxStretch is the largest factor of a time-out.
	maxStretch = 5.0
	// maxSuspectStretch is what many suspicions at once add at most, while none
	// of them has proved false. It bounds the time to see a zone lost.
	maxSuspectStretch = 1.0
	// maxSilenceScore is the score up to which the silence of most neighbours
	// counts.
	maxSilenceScore = 1.0
	// stretchShare is the share of the members whose suspicion, or whose
	// refutation of late, adds one to the factor of the suspicion time-out.
	stretchShare = 0.1
	// lateTicksInPause is how many late ticks make a pause of the process: a gap
	// of PauseThreshold/lateTicksInPause between two ticks shows that this node
	// starves, and each further such time in the gap counts once more.
	lateTicksInPause = 2
	// cutOffAfter is how long a node may hear nobody at all before that is no
	// sign of starvation any more but of a broken network. Then it judges as a
	// healthy node does.
	cutOffAfter = 10 * time.Second
	// recoveryInterval is the time after which a score falls.
	recoveryInterval = time.Second
	// refutationDecay is the share of the refutations that count on after a
	// recoveryInterval.
	refutationDecay = 0.9
	// maxRefutationStretch bounds what refutations could add to the factor. It
	// is twice what counts, so that it lasts through some seconds without any.
	maxRefutationStretch = 2 * (maxStretch - 1)
	// minRefutations is the number below which refutations are forgotten.
	minRefutations = 0.1
)

// localHealth says how far this node may trust what it sees. Its score is the
// local health multiplier of Lifeguard (Dadgar, Phillips, Currey, "Lifeguard:
// Local Health Awareness for More Accurate Failure Detection", 2018): zero for a
// healthy node, more for one that is late, is suspected itself, or misses most of
// its neighbours at once. Beyond it, refutations of late show that suspicions in
// this cluster are false more often than not.
type localHealth struct {
	// score is added to the factor of this node's time-outs, from 0 to
	// maxStretch-1.
	score float64
	// refutations counts the suspected or dead members that came back, with a
	// weight that falls with time.
	refutations float64
	// tickedAt is when the last tick was, zero before the first.
	tickedAt time.Time
	// heardAt is when any member was last heard.
	heardAt time.Time
	// recoverAt is when the score and the refutations fall next.
	recoverAt time.Time
}

// worsen raises the score up to its bound and puts off the recovery.
func (h *localHealth) worsen(now time.Time, by float64) {
	h.score = min(maxStretch-1, h.score+by)
	h.recoverAt = now.Add(recoveryInterval)
}

// tick notes a tick, late or not, and lets the scores fall. A gap of lateTick
// since the last one is late.
func (h *localHealth) tick(now time.Time, lateTick time.Duration) {
	if !h.tickedAt.IsZero() {
		if late := int(now.Sub(h.tickedAt) / lateTick); late > 0 {
			h.worsen(now, float64(late))
		}
	}
	h.tickedAt = now
	if now.Before(h.recoverAt) {
		return
	}
	h.recoverAt = nextAfter(h.recoverAt, now, recoveryInterval)
	h.score = max(0, h.score-1)
	h.refutations *= refutationDecay
	if h.refutations < minRefutations {
		h.refutations = 0
	}
}

// checkOwnHearing worsens the score when more than half of the neighbours, and
// more than one, are silent at once: then this node rather than they may be
// starved. They may as well be dead, so this counts for little.
func (m *Machine) checkOwnHearing(silent int) {
	if silent < 2 || 2*silent <= len(m.neighbours) {
		return
	}
	if m.health.score < maxSilenceScore {
		m.health.worsen(m.now, maxSilenceScore-m.health.score)
	}
}

// cutOff reports whether this node has heard nobody for long.
func (m *Machine) cutOff() bool { return m.now.Sub(m.health.heardAt) >= cutOffAfter }

// probeTimeout returns how long a probe may stay unanswered now.
func (m *Machine) probeTimeout() time.Duration {
	if m.cutOff() {
		return m.options.ProbeTimeout
	}
	return stretch(m.options.ProbeTimeout, 1+m.health.score)
}

// suspicionTimeout returns how long a suspected member has to refute now, when so
// many members are suspected.
func (m *Machine) suspicionTimeout(suspects int) time.Duration {
	if m.cutOff() {
		return m.options.SuspicionTimeout
	}
	step := m.stretchStep()
	crowd := min(maxSuspectStretch, float64(suspects-1)/step)
	refuted := math.Floor(m.health.refutations) / step
	return stretch(m.options.SuspicionTimeout, 1+max(crowd+refuted, m.health.score))
}

// countRefutation notes that a suspected or dead member came back. The sum is
// bounded, so that the time-outs are short again soon after a bad time.
func (m *Machine) countRefutation() {
	m.health.refutations = min(m.health.refutations+1, maxRefutationStretch*m.stretchStep())
}

// stretchStep returns the number of members that adds one to the factor of the
// suspicion time-out.
func (m *Machine) stretchStep() float64 {
	return max(1, stretchShare*float64(len(m.members.rows)+1))
}

// stretch multiplies a time-out by a bounded factor.
func stretch(timeout time.Duration, factor float64) time.Duration {
	return time.Duration(float64(timeout) * min(maxStretch, factor))
}
