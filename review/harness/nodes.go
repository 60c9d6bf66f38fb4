package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is a process of the system.
type node struct {
	name                                  string
	requests, readiness, metric, internal string
	settings                              string
	logPath                               string
	command                               []string
	root                                  string
	process                               *exec.Cmd
	ended                                 chan struct{}
}

// fleetOptions are the settings that differ between the cases.
type fleetOptions struct {
	nodes         int
	storeAddress  string
	fenced        bool
	root, scratch string
}

var zones = []string{"agdal", "hassan", "souissi", "hay-riad"}

var errNoRunLine = errors.New("deploy/system.toml has no run line")

// runCommand returns the command of the deploy file.
func runCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		name, value, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errNoRunLine
}

// nodeIP returns a loopback address for a node. It differs between harnesses that run at the same time, and from the
// address of outgoing connections, so that a port that is free stays free until the node listens.
func nodeIP(number int) string {
	const most = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%most, pid/most%most, 1+number)
}

// freeAddress returns a free port of a loopback address.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newNodes writes the settings of nodes, as deploy/node.json.template has them for the site anrt-rabat.
func newNodes(options fleetOptions) ([]*node, error) {
	command, err := runCommand(options.root)
	if err != nil {
		return nil, err
	}
	var nodes []*node
	for i := range options.nodes {
		n := &node{name: fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i/len(zones)+1), command: command, root: options.root}
		for _, address := range []*string{&n.requests, &n.readiness, &n.metric, &n.internal} {
			if *address, err = freeAddress(nodeIP(i)); err != nil {
				return nil, err
			}
		}
		settings, err := json.MarshalIndent(map[string]any{
			"node": n.name, "zone": zones[i%len(zones)],
			"listen":   map[string]string{"requests": n.requests, "readiness": n.readiness, "metrics": n.metric, "internal": n.internal},
			"store":    map[string]any{"address": options.storeAddress, "partitions": 12},
			"provider": map[string]any{"address": "", "duties": []string{}},
			"access":   map[string]any{"fail_closed": false, "revocation_ms": 0},
			"usage":    map[string]any{"window_seconds": 0, "lateness_seconds": 0},

			"order_pause_ms": 3000, "leave_bound_ms": 2000, "fencing_enforced": options.fenced, "grace_seconds": 8,
			"memory_mb": 334, "processor_share": 0.8,
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		n.settings = filepath.Join(options.scratch, n.name+".json")
		n.logPath = filepath.Join(options.scratch, n.name+".log")
		if err := os.WriteFile(n.settings, settings, 0o600); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// start starts the node's process.
func (n *node) start() error {
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(filepath.Join(n.root, n.command[0]), n.command[1:]...)
	process.Dir = n.root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DALEHOOK_NODE_FILE=" + n.settings}
	process.Stdout, process.Stderr = log, log
	// The process ends with the harness, also if that is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = process, ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process at once.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	<-n.ended
}

// exited reports whether the process has ended.
func (n *node) exited() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// ready reports whether the node answers its readiness probe with 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func awaitReady(nodes []*node, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
