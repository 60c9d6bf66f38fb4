package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
	"dalehook/platform/platformtest"
)

// storePartitions is the number of partitions of each topic, newestPageSize that of records on a page of the newest.
const (
	storePartitions = 12
	newestPageSize  = 500
)

// world holds the processes and the stand-ins of one play of a case.
type world struct {
	ctx       context.Context
	cancel    context.CancelFunc
	trouble   bool
	program   string
	directory string
	store     *platformtest.Store
	storeAt   string
	nodes     []*node
	began     time.Time
	// provider is the address of the service that takes usage reports, and tenants those of the configuration, if there are any.
	provider string
	tenants  []object

	mutex   sync.Mutex
	record  *os.File
	broken  []string
	down    bool
	closers []func()
}

// newWorld starts the stand-in of the store.
func newWorld(ctx context.Context, program, recordPath string, trouble bool) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the node's program is not built: %w", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: trouble, program: program, directory: directory, store: platformtest.NewStore(), began: time.Now(),
		record: record,
	}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.store.PageSize = newestPageSize
	w.storeAt, err = w.serve(w.store)
	return w, err
}

// serve serves a handler on a free loopback address and returns the address.
func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	w.onClose(func() { server.Close() })
	return listener.Addr().String(), nil
}

func (w *world) onClose(closer func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.closers = append(w.closers, closer)
}

// close ends all processes and stand-ins, and removes the temporary folder.
func (w *world) close() {
	w.cancel()
	for _, n := range w.nodes {
		n.kill()
	}
	for _, closer := range w.closers {
		closer()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.directory)
	}
	_ = w.record.Close()
}

// note writes a line to the record, with the seconds since the begin.
func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, values...)...)
}

// violate records that the rule was broken.
func (w *world) violate(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	w.note("BROKEN %s", text)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) violations() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.broken
}

// sleepUntil waits until some time after the given one.
func (w *world) sleepUntil(at time.Time) error {
	select {
	case <-w.ctx.Done():
		return w.ctx.Err()
	case <-time.After(time.Until(at)):
		return nil
	}
}

func (w *world) sleep(length time.Duration) error { return w.sleepUntil(time.Now().Add(length)) }

// setStoreDown makes the store answer 503 to all calls, or answer again.
func (w *world) setStoreDown(down bool) {
	fault := storetest.FaultNone
	if down {
		fault = storetest.FaultRefuse
	}
	w.mutex.Lock()
	w.down = down
	w.mutex.Unlock()
	w.store.Memory.SetFault(fault)
	w.note("store down: %t", down)
}

// nodeAt returns one node after the other.
func (w *world) nodeAt(number int) *node {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.nodes[number%len(w.nodes)]
}

func (w *world) storeIsDown() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.down
}

// object is a JSON object.
type object = map[string]any

// putConfiguration puts a version of the configuration into the store.
func (w *world) putConfiguration(version int, routes, services []object) error {
	configuration := object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if w.tenants != nil {
		configuration["tenants"] = w.tenants
	}
	text, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	w.store.Memory.Put(store.TopicOperator, "config", text)
	w.note("configuration %d acknowledged", version)
	return nil
}

var errNotReady = errors.New("the nodes were not ready in time")
