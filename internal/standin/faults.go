package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// FaultName names a fault. Stand-ins and the simulator use the same names.
type FaultName string

// The faults of the platform.
const (
	// FaultStoreDown drops each call to the log and the weight store, for a time
	// in seconds.
	FaultStoreDown FaultName = "store_down"
	// FaultStoreSlow adds milliseconds to each call to the log and the weight
	// store.
	FaultStoreSlow FaultName = "store_slow"
	// FaultAppendAnswerLost lets the next N appends take effect and then drops
	// their connections.
	FaultAppendAnswerLost FaultName = "append_answer_lost"
	// FaultListLag sets the machine list's lag in milliseconds.
	FaultListLag FaultName = "list_lag"
)

// The faults of engines and services.
const (
	// FaultCrash closes all connections and refuses new ones, for a time in
	// seconds; what was in memory is lost.
	FaultCrash FaultName = "crash"
	// FaultFreeze stops everything and answers nothing, for a time in seconds.
	FaultFreeze FaultName = "freeze"
	// FaultSlow multiplies an engine's token time, or adds milliseconds to a
	// service's requests.
	FaultSlow FaultName = "slow"
	// FaultRefuse refuses new work, for a time in seconds.
	FaultRefuse FaultName = "refuse"
)

// The faults of engines alone.
const (
	// FaultCutStream breaks the next N streams midway.
	FaultCutStream FaultName = "cut_stream"
	// FaultSwapFail makes the next N loads fail; the old version stays.
	FaultSwapFail FaultName = "swap_fail"
	// FaultSwapWrong makes the next N loads end on a version nobody ordered.
	FaultSwapWrong FaultName = "swap_wrong"
	// FaultReportLag sets the lag of GET /load in milliseconds.
	FaultReportLag FaultName = "report_lag"
)

// The faults of services alone.
const (
	// FaultDropBefore drops the next N requests before they run.
	FaultDropBefore FaultName = "drop_before"
	// FaultDropAfter runs the next N requests and drops them without an answer.
	FaultDropAfter FaultName = "drop_after"
	// FaultTruncate breaks the next N answers midway.
	FaultTruncate FaultName = "truncate"
)

// faultKind says what a fault's value means.
type faultKind int

const (
	// faultTimed is on for a number of seconds.
	faultTimed faultKind = iota + 1
	// faultCounted befalls the next N cases.
	faultCounted
	// faultLevel is a number that stays until it is set again.
	faultLevel
)

// faults holds the faults of one stand-in. It is safe for concurrent use.
type faults struct {
	kinds map[FaultName]faultKind
	// onSet, when set, runs after a fault was set and answered.
	onSet func(name FaultName, value float64)

	mu      sync.Mutex
	until   map[FaultName]time.Time
	values  map[FaultName]float64
	changed chan struct{}
}

func newFaults(kinds map[FaultName]faultKind) *faults {
	return &faults{
		kinds:   kinds,
		until:   make(map[FaultName]time.Time),
		values:  make(map[FaultName]float64),
		changed: make(chan struct{}),
	}
}

// set switches a fault on, or off with zero.
func (f *faults) set(name FaultName, value float64) error {
	kind, ok := f.kinds[name]
	if !ok {
		return eris.Errorf("unknown fault %q", name)
	}
	if value < 0 {
		return eris.Errorf("fault %q has the negative value %g", name, value)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == faultTimed {
		f.until[name] = time.Now().Add(time.Duration(value * float64(time.Second)))
	} else {
		f.values[name] = value
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// remaining returns how long a timed fault will last, and a channel that is
// closed when any fault is set.
func (f *faults) remaining(name FaultName) (time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.until[name]), f.changed
}

// active reports whether a timed fault is on.
func (f *faults) active(name FaultName) bool {
	left, _ := f.remaining(name)
	return left > 0
}

// waitOver returns when a timed fault is over; false when ctx ended before.
func (f *faults) waitOver(ctx context.Context, name FaultName) bool {
	for {
		left, changed := f.remaining(name)
		if left <= 0 {
			return true
		}
		if !sleep(ctx, left, changed) {
			return false
		}
	}
}

// level returns the value of a fault of kind faultLevel.
func (f *faults) level(name FaultName) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[name]
}

// milliseconds returns a level as a time.
func (f *faults) milliseconds(name FaultName) time.Duration {
	return time.Duration(f.level(name) * float64(time.Millisecond))
}

// take uses up one case of a counted fault and reports whether there was one.
func (f *faults) take(name FaultName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.values[name] < 1 {
		return false
	}
	f.values[name]--
	return true
}

// sleep waits for a duration or until wake is closed; false when ctx ended.
func sleep(ctx context.Context, duration time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
		return true
	case <-timer.C:
		return true
	}
}

// faultSetting is the body of POST /faults. The value is a number or a string
// that holds one.
type faultSetting struct {
	Name  FaultName   `json:"name"`
	Value json.Number `json:"value"`
}

// ServeHTTP answers POST /faults.
func (f *faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var setting faultSetting
	if !readJSON(w, r, &setting) {
		return
	}
	value, err := strconv.ParseFloat(setting.Value.String(), 64)
	if err != nil {
		badRequest("value is not a number").write(w)
		return
	}
	if err := f.set(setting.Name, value); err != nil {
		badRequest(err.Error()).write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	if f.onSet != nil {
		f.onSet(setting.Name, value)
	}
}

// guard applies crash and freeze in front of a handler.
func (f *faults) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f.active(FaultCrash) || !f.waitOver(r.Context(), FaultFreeze) {
			abort()
		}
		next(w, r)
	}
}
