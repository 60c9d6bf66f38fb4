// Package fault names the faults that a simulation can inject and holds their
// schedule. The names that concern what stands outside dalehook are those of the
// stand-ins.
package fault

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Name says what goes wrong.
type Name string

// Faults of the platform; the target is Platform.
const (
	// StoreDown refuses every call of the log and the weight store.
	StoreDown Name = "store_down"
	// StoreSlow delays every answer of the log.
	StoreSlow Name = "store_slow"
	// AppendAnswerLost loses the answers of appends that took effect.
	AppendAnswerLost Name = "append_answer_lost"
	// ListLag makes the machine list stand still.
	ListLag Name = "list_lag"
)

// Faults of back ends; Crash, Freeze and Slow apply to nodes as well.
const (
	// Crash ends a process with the loss of all its memory; it starts again when
	// the fault ends.
	Crash Name = "crash"
	// Freeze stops a process; its inputs queue up until it wakes.
	Freeze Name = "freeze"
	// Slow makes a process take longer for everything.
	Slow Name = "slow"
	// SwapFail makes loads fail.
	SwapFail Name = "swap_fail"
	// SwapWrong makes loads end on a version that was not ordered.
	SwapWrong Name = "swap_wrong"
	// CutStream breaks an engine's streams.
	CutStream Name = "cut_stream"
	// Truncate breaks a server's answers off in the middle.
	Truncate Name = "truncate"
	// DropBefore loses connections before the request ran.
	DropBefore Name = "drop_before"
	// DropAfter loses connections after the request ran.
	DropAfter Name = "drop_after"
	// Refuse makes a back end say that it did not run the request.
	Refuse Name = "refuse"
	// ReportLag makes a back end's report stand still.
	ReportLag Name = "report_lag"
	// Leave makes a back end leave: it finishes its work and goes. It comes back
	// when the fault ends.
	Leave Name = "leave"
)

// Faults of nodes and of the network between processes.
const (
	// Stop is a planned stop of a node; it starts again when the fault ends.
	Stop Name = "stop"
	// Replace stops a node as planned and starts one of another name.
	Replace Name = "replace"
	// Cut drops what two sides send each other; the target is "a|b", each side
	// a process, a zone, or "*".
	Cut Name = "cut"
	// CutOneWay drops what goes from a to b; the target is "a>b".
	CutOneWay Name = "cut_one_way"
	// Loss drops messages between nodes at random.
	Loss Name = "loss"
	// Duplicate doubles messages between nodes at random.
	Duplicate Name = "duplicate"
	// Jitter delays messages at random, so that they change places.
	Jitter Name = "jitter"
)

// Targets that are no process.
const (
	// Platform is the target of the platform's faults.
	Platform = "platform"
	// Network is the target of Loss, Duplicate and Jitter.
	Network = "network"
)

// Fault is one fault from a time on, for a time.
type Fault struct {
	Name   Name
	Target string
	At     time.Duration
	For    time.Duration
}

// Schedule is a list of faults.
type Schedule []Fault

// String writes the schedule as ParseSchedule reads it.
func (s Schedule) String() string {
	parts := make([]string, 0, len(s))
	for _, f := range s {
		parts = append(parts, string(f.Name)+":"+f.Target+"@"+f.At.String()+"+"+f.For.String())
	}
	return strings.Join(parts, ",")
}

// ParseSchedule reads "name:target@at+for,…", as in
// "crash:node-1@10s+5s,store_down:platform@20s+30m".
func ParseSchedule(text string) (Schedule, error) {
	if text == "" {
		return nil, nil
	}
	var schedule Schedule
	for part := range strings.SplitSeq(text, ",") {
		f, err := parse(part)
		if err != nil {
			return nil, err
		}
		schedule = append(schedule, f)
	}
	return schedule, nil
}

func parse(text string) (Fault, error) {
	name, rest, foundName := strings.Cut(text, ":")
	target, times, foundTarget := strings.Cut(rest, "@")
	at, length, foundTimes := strings.Cut(times, "+")
	if !foundName || !foundTarget || !foundTimes {
		return Fault{}, eris.Errorf("fault %q is not name:target@at+for", text)
	}
	start, err := time.ParseDuration(at)
	if err != nil {
		return Fault{}, eris.Wrapf(err, "parse the start of fault %q", text)
	}
	lasts, err := time.ParseDuration(length)
	if err != nil {
		return Fault{}, eris.Wrapf(err, "parse the length of fault %q", text)
	}
	return Fault{Name: Name(name), Target: target, At: start, For: lasts}, nil
}

// Set holds the faults that are active at the moment.
type Set struct {
	active []Fault
}

// Start activates a fault.
func (s *Set) Start(f Fault) { s.active = append(s.active, f) }

// End deactivates a fault.
func (s *Set) End(f Fault) {
	if index := slices.Index(s.active, f); index >= 0 {
		s.active = slices.Delete(s.active, index, index+1)
	}
}

// On reports whether a fault is active on a target.
func (s *Set) On(name Name, target string) bool {
	for _, f := range s.active {
		if f.Name == name && f.Target == target {
			return true
		}
	}
	return false
}

// Place is one side of a connection.
type Place struct {
	Name string
	Zone string
}

func (p Place) matches(side string) bool {
	return side == "*" || side == p.Name || side == p.Zone
}

// Blocked reports whether a cut drops what goes from one place to another.
func (s *Set) Blocked(from, to Place) bool {
	for _, f := range s.active {
		switch f.Name {
		case Cut:
			a, b, _ := strings.Cut(f.Target, "|")
			if from.matches(a) && to.matches(b) || from.matches(b) && to.matches(a) {
				return true
			}
		case CutOneWay:
			a, b, _ := strings.Cut(f.Target, ">")
			if from.matches(a) && to.matches(b) {
				return true
			}
		}
	}
	return false
}
