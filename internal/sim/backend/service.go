package backend

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/kernel"
	"dalehook/internal/sim/process"
)

// ServiceOptions configure a Service.
type ServiceOptions struct {
	Kernel *kernel.Kernel
	Faults *fault.Set
	ID     cluster.BackendID
	// Slots is the number of requests that run at once.
	Slots int
	// Queue is the largest number of waiting requests; more are refused.
	Queue int
	// ServiceTime is the mean time of a request; times are spread around it.
	ServiceTime time.Duration
	ReportLag   time.Duration
	// Ran is told each time that a request has run.
	Ran func(request string)
}

// Service is one server of a service, such as the exam portal.
type Service struct {
	process.Process
	options      ServiceOptions
	random       *rand.Rand
	running      int
	waiting      []func()
	leaving      bool
	leavingSince time.Duration
	report       machine.BackendReport
	reportedAt   time.Duration
	lateArrivals int
	// open holds the connections that wait for an answer.
	open []*connection
}

// connection is one request's way back.
type connection struct {
	reply func(ServiceReply)
}

// NewService returns a server that runs.
func NewService(options ServiceOptions) *Service {
	s := &Service{options: options, random: options.Kernel.Rand("service/" + string(options.ID))}
	s.Start()
	s.publish()
	return s
}

// ID returns the server's name.
func (s *Service) ID() cluster.BackendID { return s.options.ID }

// LateArrivals counts requests that came more than LeavingGrace after the
// server began to leave.
func (s *Service) LateArrivals() int { return s.lateArrivals }

// Answer returns the body with which every server answers a request.
func Answer(request string) string {
	return "answer to " + request + " " + strconv.FormatUint(xxhash.Sum64String(request), 16) + " end"
}

// ServiceReply is how a server answers.
type ServiceReply struct {
	// Refused means that the request did not run.
	Refused bool
	Body    string
	// Truncated means that the connection broke in the middle of Body.
	Truncated bool
	// Dropped means that the connection broke before the answer.
	Dropped bool
	Load    int
	Leaving bool
}

// Handle runs a request and answers it. A connection that broke does not stop a
// request that runs.
func (s *Service) Handle(request string, reply func(ServiceReply)) {
	if s.leaving && s.options.Kernel.Elapsed() > s.leavingSince+LeavingGrace {
		s.lateArrivals++
		s.options.Kernel.Record("late-arrival", string(s.options.ID), request, 0)
	}
	if s.suffers(fault.DropBefore) {
		reply(ServiceReply{Dropped: true})
		return
	}
	if s.leaving || len(s.waiting) >= s.options.Queue || s.suffers(fault.Refuse) {
		reply(ServiceReply{Refused: true, Load: s.load(), Leaving: s.leaving})
		return
	}
	opened := &connection{reply: reply}
	s.open = append(s.open, opened)
	s.waiting = append(s.waiting, func() { s.run(request, opened) })
	s.next()
}

// close answers a connection and forgets it.
func (s *Service) close(c *connection, reply ServiceReply) {
	s.open = slices.DeleteFunc(s.open, func(other *connection) bool { return other == c })
	c.reply(reply)
}

// suffers draws whether an active fault hits this request.
func (s *Service) suffers(name fault.Name) bool {
	return s.options.Faults.On(name, string(s.options.ID)) && s.random.IntN(2) == 0
}

func (s *Service) load() int { return s.running + len(s.waiting) }

func (s *Service) next() {
	for s.running < s.options.Slots && len(s.waiting) > 0 {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		first()
	}
	s.publish()
}

func (s *Service) run(request string, opened *connection) {
	took := time.Duration((0.5 + s.random.ExpFloat64()/2) * float64(s.options.ServiceTime))
	if s.options.Faults.On(fault.Slow, string(s.options.ID)) {
		took *= slowFactor
	}
	life := s.Life()
	s.options.Kernel.After(took, func() {
		if s.Life() != life {
			return
		}
		s.Deliver(func() {
			s.running--
			s.options.Ran(request)
			s.answer(request, opened)
			s.next()
		})
	})
}

func (s *Service) answer(request string, opened *connection) {
	body := Answer(request)
	switch {
	case s.suffers(fault.DropAfter):
		s.close(opened, ServiceReply{Dropped: true})
	case s.suffers(fault.Truncate):
		s.close(opened, ServiceReply{Body: body[:len(body)/2], Truncated: true})
	default:
		s.close(opened, ServiceReply{Body: body, Load: s.load(), Leaving: s.leaving})
	}
}

// Report returns what the server says of itself, which lags.
func (s *Service) Report() machine.BackendReport {
	report := s.report
	report.Leaving = s.leaving
	s.publish()
	return report
}

func (s *Service) publish() {
	now := s.options.Kernel.Elapsed()
	fresh := s.reportedAt > 0 && now < s.reportedAt+s.options.ReportLag
	if fresh || s.options.Faults.On(fault.ReportLag, string(s.options.ID)) {
		return
	}
	s.reportedAt = now
	s.report = machine.BackendReport{
		Backend: s.options.ID, Leaving: s.leaving,
		Running: s.running, Waiting: len(s.waiting), Slots: s.options.Slots,
	}
}

// Leave makes the server refuse new work and finish what runs.
func (s *Service) Leave() {
	s.leaving = true
	s.leavingSince = s.options.Kernel.Elapsed()
}

// Idle reports whether the server has nothing left to finish.
func (s *Service) Idle() bool { return s.load() == 0 }

// Crash ends the process; what ran and waited is lost.
func (s *Service) Crash() {
	s.End()
	s.running, s.waiting = 0, nil
	lost := s.open
	s.open = nil
	for _, c := range lost {
		c.reply(ServiceReply{Dropped: true})
	}
}

// Restart starts the process again.
func (s *Service) Restart() {
	s.Start()
	s.leaving = false
	s.publish()
}
