// Package frontend assembles a node, which routes requests between callers and back ends and keeps
// all durable state in the store.
package frontend

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"dalehook/internal/bytebudget"
)

// Settings are a node's settings, as read from its settings file.
type Settings struct {
	// Node is the name of this machine.
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Listen holds the addresses that the node listens on, as IP:PORT.
	Listen struct {
		Requests  string `json:"requests"`
		Readiness string `json:"readiness"`
		// Internal serves the calls of other nodes and of operators' commands.
		Internal string `json:"internal"`
		// Metrics is optional.
		Metrics string `json:"metrics"`
	} `json:"listen"`
	Store struct {
		// Address is given as IP:PORT.
		Address string `json:"address"`
		// Partitions is the number of partitions of each topic.
		Partitions int `json:"partitions"`
	} `json:"store"`
	// Provider is the external service that receives usage reports and scaling orders from the
	// holder of the lease.
	Provider struct {
		// Address is given as IP:PORT; empty if there is no provider.
		Address string `json:"address"`
		// Duties are the tasks of the lease's holder at the provider: "usage" to report usage,
		// "scaling" to order servers.
		Duties []string `json:"duties"`
	} `json:"provider"`
	// Access controls how requests with API keys are treated while this node can't learn whether a
	// key was revoked.
	Access struct {
		// FailClosed refuses such requests; otherwise the last known keys remain valid.
		FailClosed bool `json:"fail_closed"`
		// RevocationMs is the configuration age from which on FailClosed applies.
		RevocationMs int `json:"revocation_ms"`
	} `json:"access"`
	// Usage controls how tenants' requests are counted.
	Usage struct {
		// WindowSeconds is the length of a reporting window.
		WindowSeconds float64 `json:"window_seconds"`
		// LatenessSeconds is the time after a window's end by which it is reported.
		LatenessSeconds float64 `json:"lateness_seconds"`
	} `json:"usage"`
	// Scaling controls how servers are ordered.
	Scaling struct {
		// Off disables scaling.
		Off bool `json:"off"`
		// Headroom is the number of slots to provide for each item that was open at once; 0 means
		// 1.
		Headroom float64 `json:"headroom"`
		// MostServers limits a service's servers over all zones; 0 means that only the
		// configuration limits them.
		MostServers int `json:"most_servers"`
	} `json:"scaling"`
	// OrderPauseMs is the minimum time between the orders of two successive holders of the lease.
	OrderPauseMs int `json:"order_pause_ms"`
	// LeaveBoundMs is the time within which a draining server must get no more requests; 0 means
	// 2000.
	LeaveBoundMs int `json:"leave_bound_ms"`
	// FencingEnforced is true if engines refuse orders with an outdated fencing token.
	FencingEnforced bool `json:"fencing_enforced"`
	// GraceSeconds is the time between the termination signal and the kill.
	GraceSeconds float64 `json:"grace_seconds"`
	// MemoryMB limits the memory of the process; 0 means no limit.
	MemoryMB int `json:"memory_mb"`
	// Clients bounds what callers that read or send slowly take up.
	Clients struct {
		// StallMs is the time within which a caller must take or send each 16 KB; 0 means 10000.
		StallMs int `json:"stall_ms"`
		// MemoryMB bounds the memory for requests and responses that are held for callers, of which each tenant
		// may use one half; 0 means a quarter of the process's memory.
		MemoryMB int `json:"memory_mb"`
	} `json:"clients"`
	// ProcessorShare is the share of a core that the process has; 0 if unknown.
	ProcessorShare float64 `json:"processor_share"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(text)
}

// ParseSettings decodes and validates settings. Unknown keys are refused, since they are most
// likely misspelt.
func ParseSettings(text []byte) (*Settings, error) {
	settings := &Settings{GraceSeconds: 8, LogLevel: "info"}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("decode settings: text follows the object")
	}
	if err := settings.validate(); err != nil {
		return nil, fmt.Errorf("invalid settings: %w", err)
	}
	return settings, nil
}

// dutyUsage is the duty to report usage.
const dutyUsage = "usage"

// dutyScaling is the duty to order servers.
const dutyScaling = "scaling"

// scalingEnabled reports whether the node orders servers while it holds the lease.
func (s *Settings) scalingEnabled() bool {
	return s.Provider.Address != "" && slices.Contains(s.Provider.Duties, dutyScaling) && !s.Scaling.Off
}

// usageEnabled reports whether tenants' usage is counted and reported.
func (s *Settings) usageEnabled() bool {
	return s.Provider.Address != "" && slices.Contains(s.Provider.Duties, dutyUsage)
}

// defaultClientStall is the time within which a caller must take or send a piece: below the time for which idle
// connections last, above the pauses of a client that collects garbage or retransmits.
const defaultClientStall = 10 * time.Second

// clientMemoryShare is the share of the process's memory that is held for callers if the settings name none.
const clientMemoryShare = 0.25

// clientStall returns the time within which a caller must take or send a piece.
func (s *Settings) clientStall() time.Duration {
	return cmp.Or(time.Duration(s.Clients.StallMs)*time.Millisecond, defaultClientStall)
}

// clientMemory returns the budget of the bytes held for callers; nil if it has no bound.
func (s *Settings) clientMemory() *bytebudget.Budget {
	const megabyte = 1 << 20
	limit := cmp.Or(int64(s.Clients.MemoryMB)*megabyte, int64(clientMemoryShare*float64(s.MemoryMB)*megabyte))
	if limit == 0 {
		return nil
	}
	return bytebudget.New(limit)
}

func (s *Settings) validate() error {
	var errs []error
	require := func(holds bool, message string) {
		if !holds {
			errs = append(errs, errors.New(message))
		}
	}
	require(s.Node != "", "node is missing")
	require(s.Listen.Requests != "", "listen.requests is missing")
	require(s.Listen.Readiness != "", "listen.readiness is missing")
	require(s.Listen.Internal != "", "listen.internal is missing")
	require(s.Store.Address != "", "store.address is missing")
	require(s.Store.Partitions > 0, "store.partitions must be positive")
	require(s.Access.RevocationMs >= 0, "access.revocation_ms must not be negative")
	require(!s.Access.FailClosed || s.Access.RevocationMs > 0, "access.revocation_ms must be positive if access.fail_closed is set")
	require(s.Usage.WindowSeconds >= 0, "usage.window_seconds must not be negative")
	require(s.Usage.LatenessSeconds >= 0, "usage.lateness_seconds must not be negative")
	if s.usageEnabled() {
		require(s.Usage.WindowSeconds > 0, "usage.window_seconds must be positive if provider.duties contains usage")
		require(s.Usage.LatenessSeconds > 0, "usage.lateness_seconds must be positive if provider.duties contains usage")
	}
	require(s.Scaling.Headroom >= 0, "scaling.headroom must not be negative")
	require(s.Scaling.MostServers >= 0, "scaling.most_servers must not be negative")
	require(s.OrderPauseMs >= 0, "order_pause_ms must not be negative")
	require(s.LeaveBoundMs >= 0, "leave_bound_ms must not be negative")
	require(s.GraceSeconds > 0, "grace_seconds must be positive")
	require(s.MemoryMB >= 0, "memory_mb must not be negative")
	require(s.Clients.StallMs >= 0, "clients.stall_ms must not be negative")
	require(s.Clients.MemoryMB >= 0, "clients.memory_mb must not be negative")
	require(s.ProcessorShare >= 0, "processor_share must not be negative")
	return errors.Join(errs...)
}
