package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/backend"
)

// FaultName identifies a fault. Stand-ins and the simulator use the same names.
type FaultName string

// The faults of the platform.
const (
	// FaultStoreDown drops each call to the log and the weight store for a number
	// of seconds.
	FaultStoreDown FaultName = "store_down"
	// FaultStoreSlow delays each call to the log and the weight store by a number
	// of milliseconds.
	FaultStoreSlow FaultName = "store_slow"
	// FaultAppendAnswerLost executes the next N appends and then drops their
	// connections without a response.
	FaultAppendAnswerLost FaultName = "append_answer_lost"
	// FaultListLag sets the machine list's lag in milliseconds.
	FaultListLag FaultName = "list_lag"
)

// The faults of engines and services.
const (
	// FaultCrash closes all connections and refuses new ones for a number of
	// seconds; in-memory state is lost.
	FaultCrash FaultName = "crash"
	// FaultFreeze suspends all processing and responses for a number of seconds.
	FaultFreeze FaultName = "freeze"
	// FaultSlow multiplies an engine's token time, or adds a number of
	// milliseconds to each request of a service.
	FaultSlow FaultName = "slow"
	// FaultRefuse rejects new requests for a number of seconds.
	FaultRefuse FaultName = "refuse"
)

// The faults of engines alone.
const (
	// FaultCutStream aborts the next N streams midway.
	FaultCutStream FaultName = "cut_stream"
	// FaultSwapFail makes the next N loads fail; the old version stays loaded.
	FaultSwapFail FaultName = "swap_fail"
	// FaultSwapWrong makes the next N loads load a version that was not ordered.
	FaultSwapWrong FaultName = "swap_wrong"
	// FaultReportLag sets the lag of GET /load in milliseconds.
	FaultReportLag FaultName = "report_lag"
)

// The faults of services alone.
const (
	// FaultDropBefore drops the next N requests before they are executed.
	FaultDropBefore FaultName = "drop_before"
	// FaultDropAfter executes the next N requests and drops them without a
	// response.
	FaultDropAfter FaultName = "drop_after"
	// FaultTruncate truncates the next N responses.
	FaultTruncate FaultName = "truncate"
)

// faultKind determines how a fault's value is interpreted.
type faultKind int

const (
	// faultTimed is active for a number of seconds.
	faultTimed faultKind = iota + 1
	// faultCounted applies to the next N operations.
	faultCounted
	// faultLevel is a number that stays in effect until it is set again.
	faultLevel
)

// faults holds the faults of one stand-in. It is safe for concurrent use.
type faults struct {
	kinds map[FaultName]faultKind
	// onSet, if not nil, is called after a fault is set and the response to
	// POST /faults is flushed.
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

// set activates a fault; value zero deactivates it.
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

// timeLeft returns the remaining duration of a timed fault, and a channel that
// is closed when any fault is set.
func (f *faults) timeLeft(name FaultName) (time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.until[name]), f.changed
}

// active reports whether a timed fault is active.
func (f *faults) active(name FaultName) bool {
	left, _ := f.timeLeft(name)
	return left > 0
}

// awaitEnd waits until a timed fault is over. It returns false if ctx ends first.
func (f *faults) awaitEnd(ctx context.Context, name FaultName) bool {
	for {
		left, changed := f.timeLeft(name)
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

// milliseconds returns a level in milliseconds as a duration.
func (f *faults) milliseconds(name FaultName) time.Duration {
	return time.Duration(f.level(name) * float64(time.Millisecond))
}

// consume decrements the count of a counted fault and reports whether it was
// above zero.
func (f *faults) consume(name FaultName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.values[name] < 1 {
		return false
	}
	f.values[name]--
	return true
}

// sleep waits for a duration or until wake is closed. It returns false if ctx
// ends first.
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

// faultSetting is the body of POST /faults. The value is a JSON number, or a
// string that contains one.
type faultSetting struct {
	Name  FaultName   `json:"name"`
	Value json.Number `json:"value"`
}

// ServeHTTP handles POST /faults.
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

// guard wraps a handler with the crash and freeze faults, and returns the request's ID with the response.
func (f *faults) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
		if f.active(FaultCrash) || !f.awaitEnd(r.Context(), FaultFreeze) {
			abort()
		}
		next(w, r)
	}
}
