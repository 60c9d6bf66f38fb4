package scheduler

import (
	"fmt"
	"time"

	"dalehook/internal/batch"
)

// simulatedLog is the log of the jobs' partition. Messages are appended and read after a delay, in the order in which
// they were appended.
type simulatedLog struct {
	fold *batch.Fold
	// unread holds the messages that the machine has not read, and unappended those that are on their way to the
	// store.
	unread, unappended []simulatedMessage
	// appendDelay and readDelay are drawn for each message; nil stands for no delay.
	appendDelay, readDelay func() time.Duration
}

// simulatedMessage is a message with the time of its next step.
type simulatedMessage struct {
	at      time.Time
	records [][]byte
}

func newSimulatedLog() *simulatedLog { return &simulatedLog{fold: batch.NewFold()} }

func drawDelay(draw func() time.Duration) time.Duration {
	if draw == nil {
		return 0
	}
	return draw()
}

// eventData is the text of an event, which tells its number and the version that generated it.
func eventData(number int, version int64) string { return fmt.Sprintf("%d@%d", number, version) }

// append sends a message to the log.
func (s *simulation) append(records [][]byte, err error) {
	if err != nil {
		s.t.Fatal(err)
	}
	s.log.unappended = append(s.log.unappended, simulatedMessage{at: s.now.Add(drawDelay(s.log.appendDelay)), records: records})
	s.deliver()
}

// deliver appends the messages that are due, and passes those on to the machine that it reads now.
func (s *simulation) deliver() {
	var delayed []simulatedMessage
	for _, message := range s.log.unappended {
		if s.now.Before(message.at) {
			delayed = append(delayed, message)
			continue
		}
		message.at = s.now.Add(drawDelay(s.log.readDelay))
		s.log.unread = append(s.log.unread, message)
	}
	s.log.unappended = delayed
	for len(s.log.unread) > 0 && !s.now.Before(s.log.unread[0].at) {
		next := s.log.unread[0]
		s.log.unread = s.log.unread[1:]
		s.passOn(s.read(next))
	}
}

// read applies a message to the state of the log.
func (s *simulation) read(message simulatedMessage) batch.Change {
	change := batch.Change{}
	for _, record := range message.records {
		var err error
		if change, err = s.log.fold.Apply(record); err != nil {
			s.t.Fatal(err)
		}
	}
	return change
}

// passOn tells the machine what a message changed.
func (s *simulation) passOn(change batch.Change) {
	switch {
	case change.Accepted != nil && !change.Accepted.Ended:
		s.machine.HandleJob(s.now, 0, change.Accepted.Job, nil)
	case change.Result != nil:
		s.machine.HandleResult(s.now, change.Result)
	case change.Ended != nil:
		s.machine.HandleJobEnd(s.now, change.Ended.Job.ID)
	}
}
