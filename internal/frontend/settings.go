// Package frontend assembles a node that stands between callers and back ends and
// keeps all that must last in the store.
package frontend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
)

// Settings are a node's settings, as they stand in its file.
type Settings struct {
	// Node names this machine.
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Listen holds the addresses that the node listens on, IP:PORT.
	Listen struct {
		Requests  string `json:"requests"`
		Readiness string `json:"readiness"`
		// Internal is where nodes ask each other whether they run.
		Internal string `json:"internal"`
		// Metrics may be empty.
		Metrics string `json:"metrics"`
	} `json:"listen"`
	Store struct {
		// Address is IP:PORT.
		Address string `json:"address"`
		// Partitions is the number of partitions of each topic.
		Partitions int `json:"partitions"`
	} `json:"store"`
	// Provider is the service that takes reports and orders from the holder of the lease.
	Provider struct {
		// Address is IP:PORT; empty where there is none.
		Address string `json:"address"`
		// Duties are what the holder does there: "usage" for reports of usage, "scaling" for
		// orders of servers.
		Duties []string `json:"duties"`
	} `json:"provider"`
	// Access is what becomes of callers with keys while this node can not learn whether they
	// were withdrawn.
	Access struct {
		// FailClosed refuses them; else they are served by what was last known.
		FailClosed bool `json:"fail_closed"`
		// RevocationMs is the age of what is known of keys from which on that holds.
		RevocationMs int `json:"revocation_ms"`
	} `json:"access"`
	// Usage is how the requests of tenants are counted.
	Usage struct {
		// WindowSeconds is the length of a window.
		WindowSeconds float64 `json:"window_seconds"`
		// LatenessSeconds is the time after a window's end by which it is reported.
		LatenessSeconds float64 `json:"lateness_seconds"`
	} `json:"usage"`
	// Scaling is how servers are ordered.
	Scaling struct {
		// Off leaves the number of servers as it is.
		Off bool `json:"off"`
		// Headroom is the number of slots for each item that was open at once; 0 means 1.
		Headroom float64 `json:"headroom"`
		// MostServers bounds the servers of a service over all zones; 0 means that only the
		// configuration does.
		MostServers int `json:"most_servers"`
	} `json:"scaling"`
	// OrderPauseMs is the least time between the orders of two holders of the lease.
	OrderPauseMs int `json:"order_pause_ms"`
	// LeaveBoundMs is the time within which a server that leaves is to get no more requests; 0
	// means 2000.
	LeaveBoundMs int `json:"leave_bound_ms"`
	// FencingEnforced says that engines refuse orders with an old fencing token.
	FencingEnforced bool `json:"fencing_enforced"`
	// GraceSeconds is the time from the signal to stop to the kill.
	GraceSeconds float64 `json:"grace_seconds"`
	// MemoryMb is the memory that the process may take; 0 means no bound.
	MemoryMb int `json:"memory_mb"`
	// ProcessorShare is the share of a core that the process has; 0 when not known.
	ProcessorShare float64 `json:"processor_share"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the settings: %w", err)
	}
	return ParseSettings(text)
}

// ParseSettings decodes and checks settings. Keys that are not known are refused,
// since they are most likely misspelt.
func ParseSettings(text []byte) (*Settings, error) {
	settings := &Settings{GraceSeconds: 8, LogLevel: "info"}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return nil, fmt.Errorf("decode the settings: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("decode the settings: text follows the object")
	}
	if err := settings.check(); err != nil {
		return nil, fmt.Errorf("check the settings: %w", err)
	}
	return settings, nil
}

// dutyUsage is the duty of reporting usage.
const dutyUsage = "usage"

// dutyScaling is the duty of ordering servers.
const dutyScaling = "scaling"

// ordersServers says whether servers are ordered as they are needed.
func (s *Settings) ordersServers() bool {
	return s.Provider.Address != "" && slices.Contains(s.Provider.Duties, dutyScaling) && !s.Scaling.Off
}

// reportsUsage says whether the usage of tenants is counted and reported.
func (s *Settings) reportsUsage() bool {
	return s.Provider.Address != "" && slices.Contains(s.Provider.Duties, dutyUsage)
}

func (s *Settings) check() error {
	var faults []error
	require := func(holds bool, fault string) {
		if !holds {
			faults = append(faults, errors.New(fault))
		}
	}
	require(s.Node != "", "node is missing")
	require(s.Listen.Requests != "", "listen.requests is missing")
	require(s.Listen.Readiness != "", "listen.readiness is missing")
	require(s.Listen.Internal != "", "listen.internal is missing")
	require(s.Store.Address != "", "store.address is missing")
	require(s.Store.Partitions > 0, "store.partitions must be above 0")
	require(s.Access.RevocationMs >= 0, "access.revocation_ms must not be below 0")
	require(!s.Access.FailClosed || s.Access.RevocationMs > 0, "access.revocation_ms must be above 0 where access.fail_closed is set")
	require(s.Usage.WindowSeconds >= 0, "usage.window_seconds must not be below 0")
	require(s.Usage.LatenessSeconds >= 0, "usage.lateness_seconds must not be below 0")
	if s.reportsUsage() {
		require(s.Usage.WindowSeconds > 0, "usage.window_seconds must be above 0 where provider.duties has usage")
		require(s.Usage.LatenessSeconds > 0, "usage.lateness_seconds must be above 0 where provider.duties has usage")
	}
	require(s.Scaling.Headroom >= 0, "scaling.headroom must not be below 0")
	require(s.Scaling.MostServers >= 0, "scaling.most_servers must not be below 0")
	require(s.OrderPauseMs >= 0, "order_pause_ms must not be below 0")
	require(s.LeaveBoundMs >= 0, "leave_bound_ms must not be below 0")
	require(s.GraceSeconds > 0, "grace_seconds must be above 0")
	require(s.MemoryMb >= 0, "memory_mb must not be below 0")
	require(s.ProcessorShare >= 0, "processor_share must not be below 0")
	return errors.Join(faults...)
}
