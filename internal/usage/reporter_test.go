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

// fakeProvider is a Provider that refuses epochs below the highest it has seen and fails the test
// if two reports of a window differ.
type fakeProvider struct {
	t     *testing.T
	mutex sync.Mutex
	// err is returned for reports; nil accepts them. With dropAnswers set, a report is accepted
	// although err is returned.
	err         error
	dropAnswers bool

	epoch       int64
	reports     map[Window]map[string]int
	lateReports int
	calls       int
}

func newFakeProvider(t *testing.T) *fakeProvider {
	return &fakeProvider{t: t, reports: make(map[Window]map[string]int)}
}

func (p *fakeProvider) ReportUsage(_ context.Context, report Report) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	if p.err != nil && !p.dropAnswers {
		return p.err
	}
	if report.Epoch < p.epoch {
		return duty.ErrFenced
	}
	p.epoch = report.Epoch
	if before, known := p.reports[report.Window]; known {
		if diff := cmp.Diff(before, report.Counts); diff != "" {
			p.t.Errorf("two reports of window %d differ: %s", report.Window, diff)
		}
	} else if time.Since(report.Window.End(testWindowLength)) > testLateness {
		p.lateReports++
	}
	p.reports[report.Window] = report.Counts
	return p.err
}

func (p *fakeProvider) setFault(err error, dropAnswers bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.err, p.dropAnswers = err, dropAnswers
}

// testLease is a lease that test processes hold in turn.
type testLease struct {
	mutex  sync.Mutex
	epoch  int64
	holder string
}

func (h *testLease) take(holder string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.epoch++
	h.holder = holder
}

func (h *testLease) term(process string) func() duty.Term {
	return func() duty.Term {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return duty.Term{Epoch: h.epoch, Active: h.holder == process}
	}
}

// simulation consists of a store, a provider and processes that count requests.
type simulation struct {
	t        *testing.T
	ctx      context.Context
	log      *storetest.Memory
	provider *fakeProvider
	lease    *testLease
	senders  map[string]*Sender
	stops    map[string]context.CancelFunc
	// expected holds the number of requests that started, by window and tenant.
	expected map[Window]map[string]int
}

// runScenario runs a scenario with four processes on a fake clock.
func runScenario(t *testing.T, scenario func(w *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &simulation{
			t: t, ctx: ctx, log: storetest.NewMemory(), provider: newFakeProvider(t), lease: &testLease{},
			senders: make(map[string]*Sender), stops: make(map[string]context.CancelFunc), expected: make(map[Window]map[string]int),
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

func (w *simulation) start(process string) {
	ctx, stop := context.WithCancel(w.ctx)
	w.stops[process] = stop
	sender := NewSender(SenderOptions{Log: w.log, Process: process, WindowLength: testWindowLength, OnLost: func(int) {}, Logger: zap.NewNop()})
	reporter := NewReporter(ReporterOptions{
		Log: w.log, Provider: w.provider, WindowLength: testWindowLength, Lateness: testLateness,
		Term: w.lease.term(process), Observe: func(string) {}, Logger: zap.NewNop(),
	})
	w.senders[process] = sender
	go sender.Run(ctx)
	go reporter.Run(ctx)
}

// generateTraffic counts a request every 50 ms for a length of time, rotating among the processes.
func (w *simulation) generateTraffic(length time.Duration) {
	for i := 0; length > 0; i++ {
		process := fmt.Sprint("p", i%4)
		tenantName := fmt.Sprint("tenant-", i%7)
		now := time.Now()
		w.senders[process].Count(tenantName, now)
		window := WindowAt(now, testWindowLength)
		if w.expected[window] == nil {
			w.expected[window] = make(map[string]int)
		}
		w.expected[window][tenantName]++
		time.Sleep(50 * time.Millisecond)
		length -= 50 * time.Millisecond
	}
}

// checkReports checks that the windows that are due were reported correctly and in time.
func (w *simulation) checkReports() {
	w.t.Helper()
	time.Sleep(testLateness)
	w.provider.mutex.Lock()
	defer w.provider.mutex.Unlock()
	for window, want := range w.expected {
		if time.Since(window.End(testWindowLength)) < testLateness {
			continue
		}
		if diff := cmp.Diff(want, w.provider.reports[window]); diff != "" {
			w.t.Errorf("window %d: %s", window, diff)
		}
	}
	if w.provider.lateReports > 0 {
		w.t.Errorf("%d windows were reported late", w.provider.lateReports)
	}
}

func TestEachWindowIsReportedOnce(t *testing.T) {
	runScenario(t, func(w *simulation) {
		w.generateTraffic(30 * time.Second)
		w.checkReports()
		if w.provider.calls > 9 {
			t.Errorf("%d reports", w.provider.calls)
		}
	})
}

func TestSuccessorReportsSameCounts(t *testing.T) {
	// The successor takes over at a different point of the window in each run.
	for i := range 10 {
		runScenario(t, func(w *simulation) {
			w.generateTraffic(12*time.Second + time.Duration(i)*500*time.Millisecond)
			w.lease.take("")
			w.generateTraffic(2500 * time.Millisecond)
			w.lease.take("p1")
			w.generateTraffic(15 * time.Second)
			w.checkReports()
		})
	}
}

func TestUnansweredReportIsRetried(t *testing.T) {
	runScenario(t, func(w *simulation) {
		w.generateTraffic(11 * time.Second)
		w.provider.setFault(errors.New("answer lost"), true)
		w.generateTraffic(2 * time.Second)
		w.lease.take("p2")
		w.provider.setFault(nil, false)
		w.generateTraffic(10 * time.Second)
		w.checkReports()
	})
}

func TestReportsRecoverAfterProviderOutage(t *testing.T) {
	runScenario(t, func(w *simulation) {
		w.generateTraffic(11 * time.Second)
		w.provider.setFault(errors.New("status 503"), false)
		w.generateTraffic(3 * time.Second)
		w.provider.setFault(nil, false)
		w.generateTraffic(10 * time.Second)
		w.checkReports()
	})
}

// Requests that start during an outage of the store are reported if the nodes have time to append
// their counts.
func TestReportsRecoverAfterStoreOutage(t *testing.T) {
	for _, fault := range []storetest.Fault{storetest.FaultRefuse, storetest.FaultSilent, storetest.FaultLoseAnswer} {
		runScenario(t, func(w *simulation) {
			w.generateTraffic(12 * time.Second)
			w.log.SetFault(fault)
			w.generateTraffic(4500 * time.Millisecond)
			w.log.SetFault(storetest.FaultNone)
			w.generateTraffic(12 * time.Second)
			w.checkReports()
		})
	}
}

func TestFencedHolderStopsReporting(t *testing.T) {
	runScenario(t, func(w *simulation) {
		w.generateTraffic(11 * time.Second)
		w.provider.mutex.Lock()
		w.provider.epoch = 99
		w.provider.mutex.Unlock()
		w.generateTraffic(20 * time.Second)
		if w.provider.calls > 3 {
			t.Errorf("%d reports", w.provider.calls)
		}
	})
}

// A node whose append the store refuses asks another node to append the record.
func TestRefusedAppendIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		near, far := storetest.NewMemory(), storetest.NewMemory()
		far.SetFault(storetest.FaultRefuse)
		sender := NewSender(SenderOptions{
			Log: far, Process: "p", WindowLength: testWindowLength, OnLost: func(int) {}, Logger: zap.NewNop(),
			AppendVia: func(ctx context.Context, record []byte) error {
				_, err := near.Append(ctx, Partition, [][]byte{record})
				return err
			},
		})
		go sender.Run(ctx)
		sender.Count("a", time.Now())
		time.Sleep(time.Second)
		if near.Appends() != 1 {
			t.Errorf("the store has %d batches", near.Appends())
		}
		cancel()
		synctest.Wait()
	})
}
