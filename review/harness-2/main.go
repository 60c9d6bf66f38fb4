// Command harness-2 plays the scripted cases of the second review. It starts nodes as separate processes, before
// stand-ins of the store, the servers and the callers, and checks one rule from what these see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// cases holds the function that plays each case.
var cases = map[int]func(*world) error{}

func main() { os.Exit(play()) }

func play() int {
	number := flag.Int("case", 0, "the `number` of the case")
	program := flag.String("program", "", "the `path` of the node's program")
	recordPath := flag.String("record", "record.txt", "the `file` that the record is written to")
	flag.Parse()
	run := cases[*number]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *number)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	w, err := newWorld(ctx, *program, *recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.note("case %d, trouble %t", *number, w.trouble)
	if err := run(w); err != nil {
		w.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	violations := w.violations()
	for _, violation := range violations {
		fmt.Println("broken:", violation)
	}
	w.note("%d violations", len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
