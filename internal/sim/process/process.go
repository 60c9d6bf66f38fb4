// Package process models the life of an operating-system process: it runs, it
// stands still, it ends and it starts again.
package process

// Process is up or down, standing still or not. What reaches a process that
// stands still waits until it goes on.
type Process struct {
	up     bool
	frozen bool
	life   int
	queue  []func()
}

// Up reports whether the process runs and listens.
func (p *Process) Up() bool { return p.up }

// Frozen reports whether the process stands still.
func (p *Process) Frozen() bool { return p.frozen }

// Life numbers the lives of the process; it changes at each start and end.
func (p *Process) Life() int { return p.life }

// Deliver runs f in the process, at once or when it goes on. It reports whether
// the process is up.
func (p *Process) Deliver(f func()) bool {
	switch {
	case !p.up:
		return false
	case p.frozen:
		p.queue = append(p.queue, f)
	default:
		f()
	}
	return true
}

// Start begins a new life.
func (p *Process) Start() {
	p.life++
	p.up, p.frozen, p.queue = true, false, nil
}

// End ends the present life; what waited is lost.
func (p *Process) End() {
	p.life++
	p.up, p.frozen, p.queue = false, false, nil
}

// Freeze makes the process stand still.
func (p *Process) Freeze() { p.frozen = true }

// Thaw lets the process go on and runs what waited.
func (p *Process) Thaw() {
	p.frozen = false
	waiting := p.queue
	p.queue = nil
	life := p.life
	for _, f := range waiting {
		if p.life == life {
			p.Deliver(f)
		}
	}
}
