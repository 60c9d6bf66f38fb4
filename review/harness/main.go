// Command harness plays the cases of the review: it starts nodes as separate processes before stand-ins of the
// store, the servers and the clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trial is one play of a case.
type trial struct {
	root, scratch string
	trouble       bool
	seed          uint64
	// keep overrides the time for which the store keeps records; 0 means that of the case.
	keep time.Duration
	// kills overrides the number of kills of the case lease; 0 means that of the case.
	kills  int
	record *recorder
	nodes  []*node
	// interrupted delivers the reason to stop early.
	interrupted chan error
}

func main() {
	// Nodes end with the thread that started them, so that it must be the one that lasts.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "lease, garble or end")
	output := flag.String("record", "record.txt", "the file to write")
	trouble := flag.Bool("trouble", true, "play the disruption")
	seed := flag.Uint64("seed", 1, "seed of the stand-ins' choices")
	keep := flag.Duration("keep", 0, "time for which the store keeps records without a key, instead of that of the case")
	kills := flag.Int("kills", 0, "number of kills in the case lease, instead of that of the case")
	limit := flag.Duration("limit", 115*time.Second, "the longest time that the case may take")
	logs := flag.String("logs", "", "directory to keep the nodes' logs in")
	flag.Parse()
	play := map[string]func(*trial) error{"lease": playLease, "garble": playGarble, "end": playEnd}[*name]
	root, err := os.Getwd()
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "usage: harness -case lease|garble|end, in the repository's root")
		return exitNotRun
	}
	scratch, err := os.MkdirTemp("", "dalehook-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(scratch)
	if *logs != "" {
		scratch = *logs
	}
	record, err := newRecorder(*output)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	t := &trial{root: root, scratch: scratch, trouble: *trouble, seed: *seed, keep: *keep, kills: *kills, record: record}
	record.note("case %s, trouble %v, seed %d", *name, *trouble, *seed)
	err = t.play(play, *limit)
	for _, n := range t.nodes {
		n.kill()
	}
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case record.brokenCount() > 0:
		fmt.Printf("%d times broken\n", record.brokenCount())
		return exitBroken
	}
	record.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// play plays a case. It ends early at a signal or when the limit has passed.
func (t *trial) play(play func(*trial) error, limit time.Duration) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	t.interrupted = make(chan error, 1)
	go func() {
		select {
		case got := <-signals:
			t.interrupted <- fmt.Errorf("stopped by signal %v", got)
		case <-time.After(limit):
			t.interrupted <- fmt.Errorf("not done after %v", limit)
		}
	}()
	return play(t)
}

// pause waits; it returns an error if the case has to end early.
func (t *trial) pause(duration time.Duration) error {
	select {
	case err := <-t.interrupted:
		return err
	case <-time.After(duration):
		return nil
	}
}

// listen returns a listener on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// serveHTTP serves a handler on a free loopback port and returns the address.
func serveHTTP(handler http.Handler) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, IdleTimeout: 60 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// startNodes starts the nodes of a fleet.
func (t *trial) startNodes(count int, storeAddress string, fenced bool) error {
	if err := os.MkdirAll(t.scratch, 0o755); err != nil {
		return err
	}
	nodes, err := newNodes(fleetOptions{nodes: count, storeAddress: storeAddress, fenced: fenced, root: t.root, scratch: t.scratch})
	if err != nil {
		return err
	}
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return err
		}
		t.nodes = append(t.nodes, n)
		t.record.note("node %s started: %s", n.name, filepath.Base(n.command[0]))
	}
	return awaitReady(nodes, 20*time.Second)
}
