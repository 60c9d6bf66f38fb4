package idempotency

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Request is a call that may run at most once.
type Request struct {
	Call   machine.CallID
	Key    string
	Digest string
	// Deadline is when the caller wants its answer.
	Deadline time.Time
}

// Event says what has happened to a call. It is Granted, Answered or Refused.
type Event interface{ event() }

// Granted gives the call the right to be sent, by Start.
type Granted struct {
	Call machine.CallID
}

// Answered ends the call with the recorded answer of the key's request.
type Answered struct {
	Call     machine.CallID
	Response machine.Response
}

// Refused ends the call with an error.
type Refused struct {
	Call    machine.CallID
	Failure machine.Failure
}

func (Granted) event()  {}
func (Answered) event() {}
func (Refused) event()  {}

// phase is where an operation stands.
type phase int

const (
	// phasePreparing gathers votes.
	phasePreparing phase = iota + 1
	// phaseWaiting waits for another coordinator's attempt of the same key.
	phaseWaiting
	// phaseGranted has a majority and was not sent.
	phaseGranted
	// phaseStarted was sent.
	phaseStarted
	// phaseRecording has come to an end that a majority is to hold.
	phaseRecording
)

// operation is this node's dealing with one key: the call that leads it, and
// later ones of the same key that follow.
type operation struct {
	request   Request
	followers []Request
	phase     phase
	attempt   AttemptID
	// view and group are those in which votes are gathered or outcomes recorded.
	view  uint64
	group []cluster.Node
	votes []vote
	// begun is when the votes of this attempt were first asked for.
	begun time.Time
	// giveUp ends the gathering of votes.
	giveUp time.Time
	// nextSend is when unanswered messages are repeated.
	nextSend  time.Time
	grantedAt time.Time
	// rivals are the attempts of other coordinators that stand in the way.
	rivals  []Marker
	nextAsk time.Time
	// askedReplicas says that a rival has ended, or is gone, and that its outcome
	// was looked for.
	askedReplicas bool
	// outcome, acknowledged and recordUntil belong to phaseRecording.
	outcome      Marker
	acknowledged []bool
	recordUntil  time.Time
}

// vote is a replica's last answer to Prepare; its verdict is zero while there is
// none.
type vote struct {
	verdict Verdict
	markers []Marker
}

// tally sums up the votes of an operation.
type tally struct {
	granted int
	full    int
	lost    int
	silent  int
	waiting int
	rivals  []Marker
	// seen counts, for each of rivals, the replicas that hold it.
	seen []int
}

// count sums up the votes.
func (o *operation) count() tally {
	var t tally
	for _, v := range o.votes {
		switch v.verdict {
		case VerdictGranted:
			t.granted++
		case VerdictMemoryFull:
			t.full++
		case VerdictLost:
			t.lost++
		case VerdictNotReady, VerdictOtherView:
			t.waiting++
		case VerdictHeld:
			t.addRivals(v.markers)
		default:
			t.silent++
		}
	}
	return t
}

func (t *tally) addRivals(markers []Marker) {
	for _, marker := range markers {
		known := -1
		for i, rival := range t.rivals {
			if rival.Attempt == marker.Attempt {
				known = i
			}
		}
		if known < 0 {
			t.rivals = append(t.rivals, marker)
			t.seen = append(t.seen, 1)
			continue
		}
		t.seen[known]++
		if marker.definite() {
			t.rivals[known] = marker
		}
	}
}

// notRun reports whether the votes show that no other attempt of the key was
// sent: a majority holds no other's marker.
func (o *operation) notRun() bool {
	t := o.count()
	return len(t.rivals) == 0 && len(o.group) > 0 && t.granted+t.full >= majority(o.group)
}

// lowest reports whether an attempt goes before all its rivals.
func (o *operation) lowest() bool {
	for _, rival := range o.rivals {
		if rival.Attempt.compare(o.attempt) < 0 {
			return false
		}
	}
	return true
}
