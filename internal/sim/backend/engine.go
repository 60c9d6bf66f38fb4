package backend

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/kernel"
	"dalehook/internal/sim/process"
)

// Listener receives the stream of one request. A listener that is replaced by a
// later one hears no more.
type Listener interface {
	Chunk(fromToken, tokens int, text string, version cluster.Version)
	Ended(reason machine.EndReason, retryAfter time.Duration, detail string)
}

// Shape says how long a prompt and its answer are, in tokens.
type Shape struct {
	Prompt int
	// Shared is how much of the prompt its group shares.
	Shared int
	Answer int
}

// WeightStore serves versions at a limited rate.
type WeightStore interface {
	// Fetch calls done when the version has arrived, or with a reason why not.
	Fetch(model cluster.ModelName, version cluster.Version, done func(reason string))
}

// EngineOptions configure an Engine.
type EngineOptions struct {
	Kernel  *kernel.Kernel
	Faults  *fault.Set
	Weights WeightStore
	// Shapes says how long a prompt and its answer are.
	Shapes  func(prompt string) Shape
	ID      cluster.BackendID
	Profile EngineProfile
	Model   cluster.ModelName
	Version cluster.Version
	// Exported finds another engine's cache by its handle; it returns the number
	// of tokens, zero when there is none.
	Exported func(handle string) int
}

// Engine is a model engine.
type Engine struct {
	process.Process
	options EngineOptions
	random  *rand.Rand
	batch   batch
	prefix  prefixCache
	leaving bool
	// leavingSince is the time since the start at which the engine began to leave.
	leavingSince time.Duration
	model        cluster.ModelName
	version      cluster.Version
	loading      cluster.Version
	loadError    string
	fence        machine.Fence
	report       machine.BackendReport
	reportedAt   time.Duration
	counts       EngineCounts
}

// EngineCounts are an engine's own figures over all its lives.
type EngineCounts struct {
	Tokens        float64
	Started       int
	Refused       int
	PrefillTokens float64
	PrefixHits    int
	Preempted     int
	Swaps         int
	// LateArrivals counts requests that came more than LeavingGrace after the
	// engine began to leave.
	LateArrivals int
}

// LeavingGrace is the time within which new work may still reach a back end
// that is leaving.
const LeavingGrace = 3 * time.Second

// NewEngine returns an engine that runs its first version.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{options: options, random: options.Kernel.Rand("engine/" + string(options.ID))}
	e.boot()
	return e
}

func (e *Engine) boot() {
	e.Start()
	e.leaving = false
	e.model, e.version = e.options.Model, e.options.Version
	e.loading, e.loadError, e.fence = 0, "", machine.Fence{}
	e.batch = batch{}
	e.prefix = newPrefixCache(e.options.Profile.PrefixCapacity)
	e.publish()
}

// ID returns the engine's name.
func (e *Engine) ID() cluster.BackendID { return e.options.ID }

// Version returns what the engine truly runs.
func (e *Engine) Version() cluster.Version { return e.version }

// Counts returns the engine's own figures.
func (e *Engine) Counts() EngineCounts { return e.counts }

// refusalDelay is what a busy engine asks callers to wait.
const refusalDelay = 500 * time.Millisecond

// Generate takes a request, or goes on with one it knows.
func (e *Engine) Generate(start machine.StartAttempt, listener Listener) {
	if e.leaving && e.options.Kernel.Elapsed() > e.leavingSince+LeavingGrace {
		e.counts.LateArrivals++
		e.options.Kernel.Record("late-arrival", string(e.options.ID), start.ID.String(), 0)
	}
	if known := e.batch.find(start.ID); known != nil {
		e.resume(known, start, listener)
		return
	}
	if start.ResumeFrom > 0 && start.ResumeText == "" {
		listener.Ended(machine.EndUnknownRequest, 0, "no such request")
		return
	}
	if reason := e.refusal(start); reason != "" {
		e.counts.Refused++
		listener.Ended(machine.EndRefused, refusalDelay, reason)
		return
	}
	e.counts.Started++
	e.advance()
	e.batch.waiting = append(e.batch.waiting, e.newRequest(start, listener))
	e.reschedule()
}

func (e *Engine) refusal(start machine.StartAttempt) string {
	switch {
	case e.leaving:
		return "leaving"
	case start.Model != "" && start.Model != e.model:
		return "wrong model"
	case len(e.batch.waiting) >= e.options.Profile.Queue:
		return "busy"
	case e.options.Faults.On(fault.Refuse, string(e.options.ID)) && e.random.IntN(2) == 0:
		return "refused"
	}
	return ""
}

func (e *Engine) newRequest(start machine.StartAttempt, listener Listener) *request {
	shape := e.options.Shapes(start.Prompt)
	r := &request{
		start: start, shape: shape, listener: listener,
		target: min(shape.Answer, start.MaxTokens),
		base:   start.ResumeFrom, done: float64(start.ResumeFrom), sent: start.ResumeFrom,
	}
	if start.ImportKV != "" && e.options.Exported != nil {
		r.imported = e.options.Exported(start.ImportKV)
	}
	return r
}

// resume lets a listener take over the stream of a known request from an offset.
func (e *Engine) resume(r *request, start machine.StartAttempt, listener Listener) {
	if start.ResumeFrom < r.base {
		listener.Ended(machine.EndUnknownRequest, 0, "offset lies before what is kept")
		return
	}
	if r.listener != nil {
		r.listener.Ended(machine.EndCut, 0, "taken over by another connection")
	}
	e.advance()
	r.listener = listener
	r.sent = start.ResumeFrom
	e.flush(r)
	if r.finished {
		e.finish(r)
	}
	e.reschedule()
}

// Detach says that the connection of a listener broke. The request goes on for
// a while, so that a new owner can resume it.
func (e *Engine) Detach(id machine.AttemptID, listener Listener) {
	r := e.batch.find(id)
	if r == nil || r.listener != listener {
		return
	}
	r.listener = nil
	life := e.Life()
	e.options.Kernel.After(e.options.Profile.KeepDetached, func() {
		if e.Life() == life && r.listener == nil {
			e.Cancel(id)
		}
	})
}

// Cancel ends a request.
func (e *Engine) Cancel(id machine.AttemptID) {
	r := e.batch.find(id)
	if r == nil {
		return
	}
	e.advance()
	e.batch.remove(r)
	if r.listener != nil {
		r.listener.Ended(machine.EndCanceled, 0, "")
	}
	e.reschedule()
}

// Report returns what the engine says of itself, which lags.
func (e *Engine) Report() machine.BackendReport {
	report := e.report
	report.Groups = slices.DeleteFunc(slices.Clone(report.Groups), func(string) bool { return e.random.IntN(10) == 0 })
	// A process that shuts down says so at once.
	report.Leaving = e.leaving
	e.publish()
	return report
}

// publish refreshes the report, no more often than the lag allows.
func (e *Engine) publish() {
	now := e.options.Kernel.Elapsed()
	fresh := e.reportedAt > 0 && now < e.reportedAt+e.options.Profile.ReportLag
	if fresh || e.options.Faults.On(fault.ReportLag, string(e.options.ID)) {
		return
	}
	e.reportedAt = now
	e.report = machine.BackendReport{
		Backend: e.options.ID, Leaving: e.leaving,
		Running: len(e.batch.running), Waiting: len(e.batch.waiting), Slots: e.options.Profile.Slots,
		KVTokens: e.batch.kvTokens(), KVCapacity: e.options.Profile.KVCapacity,
		Model: e.model, Version: e.version, Loading: e.loading, LoadError: e.loadError, LastFence: e.fence,
		TokensPerSecond: float64(e.batch.decoding()) * e.options.Profile.tokensPerSecond(e.batch.decoding()),
		Groups:          e.prefix.groups(),
	}
}

// CachedTokens returns the cache that can be exported for a handle, which is
// "engine/request id".
func (e *Engine) CachedTokens(handle string) int {
	_, id, _ := strings.Cut(handle, "/")
	for _, r := range slices.Concat(e.batch.running, e.batch.kept) {
		if r.start.ID.String() == id {
			return r.shape.Prompt + int(r.done)
		}
	}
	return 0
}

// Leave makes the engine refuse new work and finish what runs.
func (e *Engine) Leave() {
	e.leaving = true
	e.leavingSince = e.options.Kernel.Elapsed()
}

// Idle reports whether the engine has nothing left to finish.
func (e *Engine) Idle() bool { return len(e.batch.running)+len(e.batch.waiting) == 0 }

// Crash ends the process; all it held is lost.
func (e *Engine) Crash() {
	lost := slices.Concat(e.batch.running, e.batch.waiting)
	e.End()
	e.batch = batch{}
	for _, r := range lost {
		if r.listener != nil {
			r.listener.Ended(machine.EndCut, 0, "connection reset")
		}
	}
}

// Restart starts the process again, on the version that it had first.
func (e *Engine) Restart() { e.boot() }

// Freeze makes the process stand still.
func (e *Engine) Freeze() {
	e.advance()
	e.Process.Freeze()
}

// Thaw lets the process go on.
func (e *Engine) Thaw() {
	e.batch.advancedAt = e.options.Kernel.Elapsed()
	e.Process.Thaw()
	e.reschedule()
}
