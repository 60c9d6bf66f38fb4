package main

import (
	"fmt"
	"time"
)

func init() { cases[8] = commentLines }

// An engine sends a comment line after commentSilence without an event. slowFactor makes its work slow.
const (
	commentSilence = 500 * time.Millisecond
	eventGap       = 140 * time.Millisecond
	slowFactor     = 4
	slowEngines    = 7
	slowLength     = 8 * time.Second
)

func shortEvents(string) int { return shortItem }

// commentLines: one engine in seven turns slow. Like many servers of event streams, the engines send a comment line after
// half a second of silence, so that no proxy closes the connection.
func commentLines(w *world) error {
	if err := w.putConfiguration(1, []object{rolloutRoute()}, []object{engineService(16)}); err != nil {
		return err
	}
	var engines []*server
	for i := range slowEngines {
		engine := &server{
			id: fmt.Sprint("i-engine-", i+1), service: "modelos", model: model, slots: 16, gap: eventGap, silence: commentSilence, events: shortEvents,
		}
		if err := w.startServer(engine); err != nil {
			return err
		}
		engines = append(engines, engine)
	}
	if err := w.startNodes(3); err != nil {
		return err
	}
	if err := w.sleep(4 * time.Second); err != nil {
		return err
	}
	first := newJob(0, 42, 0)
	sentAt := time.Now()
	if err := w.submit(first); err != nil {
		return err
	}
	if err := w.sleep(500 * time.Millisecond); err != nil {
		return err
	}
	if w.trouble {
		engines[0].setSlow(slowFactor)
		time.AfterFunc(slowLength, func() { engines[0].setSlow(1) })
	}
	done := func() bool { return len(first.unfinished()) == 0 }
	if err := w.readUntil(first, sentAt.Add(trainerDeadline), done); err != nil {
		return err
	}
	w.endByAll(first)
	w.checkTexts(first, shortEvents)
	return nil
}
