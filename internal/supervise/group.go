// Package supervise runs goroutines on conc and makes a panic known at once,
// where a plain wait group would show it only when all goroutines have ended.
package supervise

import (
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group runs goroutines. Go must not be called once Wait has been.
type Group struct {
	goroutines conc.WaitGroup
	failed     chan error
}

// NewGroup returns a group without goroutines.
func NewGroup() *Group {
	return &Group{failed: make(chan error, 1)}
}

// Go runs f in a goroutine of its own.
func (g *Group) Go(f func()) {
	g.goroutines.Go(func() {
		defer g.keepPanic()
		f()
	})
}

// Failed delivers the first panic of a goroutine as an error with its stack.
func (g *Group) Failed() <-chan error { return g.failed }

// Wait returns when all goroutines have ended.
func (g *Group) Wait() { g.goroutines.Wait() }

// keepPanic keeps the panic of a goroutine that ends; it is called deferred.
func (g *Group) keepPanic() {
	value := recover()
	if value == nil {
		return
	}
	recovered := panics.NewRecovered(1, value)
	select {
	case g.failed <- recovered.AsError():
	default:
	}
}
