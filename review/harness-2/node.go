package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// readyTimeout is the time in which all nodes must be ready.
const readyTimeout = 20 * time.Second

// node is a node of the system, in a process of its own.
type node struct {
	name      string
	requests  string
	readiness string
	command   *exec.Cmd
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startNodes starts nodes with settings like those that the deploy file's template gives in a small deployment, and
// waits until all are ready.
func (w *world) startNodes(count int) error {
	for i := range count {
		started, err := w.launch(fmt.Sprint("node-", i+1))
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, started)
	}
	end := time.Now().Add(readyTimeout)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return errNotReady
			}
			if err := w.sleep(100 * time.Millisecond); err != nil {
				return err
			}
		}
		w.note("%s ready", n.name)
	}
	return nil
}

// launch starts a node.
func (w *world) launch(name string) (*node, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	duties, revocation, window, lateness := []string{}, 0, 0, 0
	if w.provider != "" {
		duties, revocation, window, lateness = []string{"usage"}, 5000, usageWindow, usageLateness
	}
	settings, err := json.Marshal(object{
		"node": name, "zone": "cercado",
		"listen":         object{"requests": addresses[0], "readiness": addresses[1], "internal": addresses[2], "metrics": addresses[3]},
		"store":          object{"address": w.storeAt, "partitions": storePartitions},
		"provider":       object{"address": w.provider, "duties": duties},
		"access":         object{"fail_closed": false, "revocation_ms": revocation},
		"usage":          object{"window_seconds": window, "lateness_seconds": lateness},
		"order_pause_ms": 3000, "leave_bound_ms": 2000, "fencing_enforced": true, "grace_seconds": 8,
		"memory_mb": 344, "descriptors": 8200, "processor_share": 0.8,
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.directory, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(w.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	defer output.Close()
	n := &node{name: name, requests: addresses[0], readiness: addresses[1]}
	n.command = exec.Command(w.program, "run")
	n.command.Env = append(os.Environ(), "DALEHOOK_NODE_FILE="+path)
	n.command.Stdout, n.command.Stderr = output, output
	// The process ends with this one, whatever ends this one.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	w.note("%s started", name)
	return n, nil
}

func (n *node) kill() {
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
}

var probeClient = &http.Client{Timeout: time.Second}

func (n *node) isReady() bool {
	response, err := probeClient.Get("http://" + n.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
