package usage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"dalehook/internal/duty"
	"dalehook/internal/store/storetest"
)

const testLateness = 10 * time.Second

// provider is a stand-in of the service that takes reports: it refuses lower epochs than it
// has seen, and notes whether two reports of a window differ.
type provider struct {
	t     *testing.T
	mutex sync.Mutex
	// fail is what reports come to; nil takes them. A report that fails is taken all the
	// same where lose is set.
	fail error
	lose bool

	epoch   int64
	reports map[Window]map[string]int
	late    int
	calls   int
}

func newProvider(t *testing.T) *provider {
	return &provider{t: t, reports: make(map[Window]map[string]int)}
}

func (p *provider) ReportUsage(_ context.Context, report Report) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	if p.fail != nil && !p.lose {
		return p.fail
	}
	if report.Epoch < p.epoch {
		return duty.ErrFenced
	}
	p.epoch = report.Epoch
	if before, known := p.reports[report.Window]; known {
		if diff := cmp.Diff(before, report.Counts); diff != "" {
			p.t.Errorf("two reports of window %d differ: %s", report.Window, diff)
		}
	} else if time.Since(report.Window.End(testLength)) > testLateness {
		p.late++
	}
	p.reports[report.Window] = report.Counts
	return p.fail
}

func (p *provider) set(fail error, lose bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fail, p.lose = fail, lose
}

// holders is a lease that test processes hold in turn.
type holders struct {
	mutex  sync.Mutex
	epoch  int64
	holder string
}

func (h *holders) take(holder string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.epoch++
	h.holder = holder
}

func (h *holders) term(process string) func() duty.Term {
	return func() duty.Term {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return duty.Term{Epoch: h.epoch, Active: h.holder == process}
	}
}

// world is a store, a provider and processes that count.
type world struct {
	t        *testing.T
	ctx      context.Context
	log      *storetest.Memory
	provider *provider
	lease    *holders
	senders  map[string]*Sender
	stops    map[string]context.CancelFunc
	// truth is what began, by window and tenant.
	truth map[Window]map[string]int
}

// play runs a scenario on a clock of its own.
func play(t *testing.T, scenario func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{
			t: t, ctx: ctx, log: storetest.NewMemory(), provider: newProvider(t), lease: &holders{},
			senders: make(map[string]*Sender), stops: make(map[string]context.CancelFunc), truth: make(map[Window]map[string]int),
		}
		for i := range 4 {
			w.start(fmt.Sprint("p", i))
		}
		w.lease.take("p0")
		scenario(w)
		cancel()
		synctest.Wait()
	})
}

func (w *world) start(process string) {
	ctx, stop := context.WithCancel(w.ctx)
	w.stops[process] = stop
	sender := NewSender(SenderOptions{Log: w.log, Process: process, Length: testLength, Lost: func(int) {}, Logger: zap.NewNop()})
	reporter := NewReporter(ReporterOptions{
		Log: w.log, Provider: w.provider, Length: testLength, Lateness: testLateness,
		Term: w.lease.term(process), Observe: func(string) {}, Logger: zap.NewNop(),
	})
	w.senders[process] = sender
	go sender.Run(ctx)
	go reporter.Run(ctx)
}

// traffic counts a request each 50 ms for a time, at processes in turn.
func (w *world) traffic(length time.Duration) {
	for i := 0; length > 0; i++ {
		process := fmt.Sprint("p", i%4)
		tenantName := fmt.Sprint("tenant-", i%7)
		now := time.Now()
		w.senders[process].Count(tenantName, now)
		window := WindowAt(now, testLength)
		if w.truth[window] == nil {
			w.truth[window] = make(map[string]int)
		}
		w.truth[window][tenantName]++
		time.Sleep(50 * time.Millisecond)
		length -= 50 * time.Millisecond
	}
}

// check says whether the windows that are due were reported, right and in time.
func (w *world) check() {
	w.t.Helper()
	time.Sleep(testLateness)
	w.provider.mutex.Lock()
	defer w.provider.mutex.Unlock()
	for window, want := range w.truth {
		if time.Since(window.End(testLength)) < testLateness {
			continue
		}
		if diff := cmp.Diff(want, w.provider.reports[window]); diff != "" {
			w.t.Errorf("window %d: %s", window, diff)
		}
	}
	if w.provider.late > 0 {
		w.t.Errorf("%d windows were reported late", w.provider.late)
	}
}

func TestWindowsAreReportedOnce(t *testing.T) {
	play(t, func(w *world) {
		w.traffic(30 * time.Second)
		w.check()
		if w.provider.calls > 9 {
			t.Errorf("%d reports", w.provider.calls)
		}
	})
}

func TestASuccessorReportsTheSame(t *testing.T) {
	// A successor takes over at any time of the window.
	for i := range 10 {
		play(t, func(w *world) {
			w.traffic(12*time.Second + time.Duration(i)*500*time.Millisecond)
			w.lease.take("")
			w.traffic(2500 * time.Millisecond)
			w.lease.take("p1")
			w.traffic(15 * time.Second)
			w.check()
		})
	}
}

func TestAReportWithoutAnAnswerIsRepeated(t *testing.T) {
	play(t, func(w *world) {
		w.traffic(11 * time.Second)
		w.provider.set(errors.New("answer lost"), true)
		w.traffic(2 * time.Second)
		w.lease.take("p2")
		w.provider.set(nil, false)
		w.traffic(10 * time.Second)
		w.check()
	})
}

func TestAnOutageOfTheProviderIsMadeUpFor(t *testing.T) {
	play(t, func(w *world) {
		w.traffic(11 * time.Second)
		w.provider.set(errors.New("status 503"), false)
		w.traffic(3 * time.Second)
		w.provider.set(nil, false)
		w.traffic(10 * time.Second)
		w.check()
	})
}

// What nodes count while the store is away counts, if they have the time to append it.
func TestAnOutageOfTheStoreIsMadeUpFor(t *testing.T) {
	for _, fault := range []storetest.Fault{storetest.FaultRefuse, storetest.FaultSilent, storetest.FaultLoseAnswer} {
		play(t, func(w *world) {
			w.traffic(12 * time.Second)
			w.log.SetFault(fault)
			w.traffic(4500 * time.Millisecond)
			w.log.SetFault(storetest.FaultNone)
			w.traffic(12 * time.Second)
			w.check()
		})
	}
}

func TestAFencedHolderReportsNoMore(t *testing.T) {
	play(t, func(w *world) {
		w.traffic(11 * time.Second)
		w.provider.mutex.Lock()
		w.provider.epoch = 99
		w.provider.mutex.Unlock()
		w.traffic(20 * time.Second)
		if w.provider.calls > 3 {
			t.Errorf("%d reports", w.provider.calls)
		}
	})
}

// A node that is turned away by the store has another one append for it.
func TestANodeWithoutTheStoreIsAppendedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		near, far := storetest.NewMemory(), storetest.NewMemory()
		far.SetFault(storetest.FaultRefuse)
		sender := NewSender(SenderOptions{
			Log: far, Process: "p", Length: testLength, Lost: func(int) {}, Logger: zap.NewNop(),
			Forward: func(ctx context.Context, record []byte) error {
				_, err := near.Append(ctx, Partition, [][]byte{record})
				return err
			},
		})
		go sender.Run(ctx)
		sender.Count("a", time.Now())
		time.Sleep(time.Second)
		if near.Appends() != 1 {
			t.Errorf("%d batches stand in the store", near.Appends())
		}
		cancel()
		synctest.Wait()
	})
}
