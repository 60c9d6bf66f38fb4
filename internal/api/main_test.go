package api

import (
	"net/http/httptest"
	"testing"

	"go.uber.org/goleak"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script plays the machine and the driver: it answers each input by a function.
type script struct {
	handler *Handler
	server  *httptest.Server
	inputs  chan machine.Input
	leaving bool
}

// newScript serves a handler whose inputs are answered by respond, which may be
// nil, and are recorded.
func newScript(t *testing.T, limits Limits, respond func(*Handler, machine.Input)) *script {
	t.Helper()
	s := &script{inputs: make(chan machine.Input, 64)}
	s.handler = New(Options{
		Self:    cluster.Node{ID: "node-1"},
		Ready:   func() bool { return true },
		Leaving: func() bool { return s.leaving },
		Limits:  limits,
		Submit: func(in machine.Input) {
			s.inputs <- in
			if respond != nil {
				respond(s.handler, in)
			}
		},
	})
	s.server = httptest.NewServer(s.handler)
	t.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
	})
	return s
}

// next returns the next input of a type and skips others. A test whose input
// never comes ends with the test run's own time limit.
func next[T machine.Input](s *script) T {
	for in := range s.inputs {
		if wanted, ok := in.(T); ok {
			return wanted
		}
	}
	panic("unreachable")
}
