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
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"dalehook/internal/bytebudget"
	"dalehook/internal/gateway"
	"dalehook/internal/overload"
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
	// Overload controls how single requests are treated while a service has more of them than it can
	// serve.
	Overload struct {
		// Off disables refusals, limits and budgets under overload, and restores the choice of servers of
		// earlier builds.
		Off bool `json:"off"`
		// HedgeShare is the number of hedges (second copies of slow requests) for each admitted request
		// of a loaded service, from 0 to 1; RetryShare is the same for retries after a rejection.
		HedgeShare float64 `json:"hedge_share"`
		RetryShare float64 `json:"retry_share"`
		// TenantWeights holds the weights by which tenants share an overloaded service; others have
		// weight 1.
		TenantWeights map[string]float64 `json:"tenant_weights"`
	} `json:"overload"`
	// Scheduling controls how batch jobs share the engines.
	Scheduling struct {
		// TenantWeights holds the weights by which tenants with waiting items share the engines; others
		// have weight 1.
		TenantWeights map[string]float64 `json:"tenant_weights"`
	} `json:"scheduling"`
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
	// Descriptors limits the open files and connections of the process; 0 means that only the system limits them.
	Descriptors int `json:"descriptors"`
	// Clients bounds the time, memory and connections that callers may take.
	Clients struct {
		// StallMs is the time within which a caller must take or send each 16 KB; 0 means 10000.
		StallMs int `json:"stall_ms"`
		// MemoryMB bounds the memory for requests and responses that are held for callers, of which
		// each tenant may use one half; 0 means a quarter of the process's memory.
		MemoryMB int `json:"memory_mb"`
		// Connections bounds the callers' connections; 0 means as many as the memory and the descriptors of
		// the process allow.
		Connections int `json:"connections"`
		// BacklogMB bounds the memory of the batch jobs that are open in the fleet: this node refuses further ones
		// beyond it. 0 means a fifth of the process's memory.
		BacklogMB int `json:"backlog_mb"`
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

// Defaults of settings whose zero value has a meaning of its own.
const (
	defaultGraceSeconds = 8
	defaultLogLevel     = "info"
)

// defaultSettings returns the settings of an empty file.
func defaultSettings() *Settings {
	settings := &Settings{GraceSeconds: defaultGraceSeconds, LogLevel: defaultLogLevel}
	settings.Overload.HedgeShare, settings.Overload.RetryShare = overload.DefaultBudgetShare, overload.DefaultBudgetShare
	return settings
}

// ParseSettings decodes and validates settings. Unknown keys are refused, since they are most
// likely misspelt. The error names all problems, but of values of a wrong type only the first one.
func ParseSettings(text []byte) (*Settings, error) {
	settings := defaultSettings()
	decoder := json.NewDecoder(bytes.NewReader(text))
	err := decoder.Decode(settings)
	var typeError *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &typeError) {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("decode settings: text follows the object")
	}
	problems := unknownKeys(text)
	if typeError != nil {
		message := "must be " + jsonKind(typeError.Type) + ", not " + typeError.Value
		problems = append(problems, settingError{cmp.Or(typeError.Field, "the file"), message})
	}
	for _, problem := range settings.validate() {
		// A value that could not be decoded has its default here, whose problems are not the file's.
		if typeError == nil || !isWithin(problem.key, typeError.Field) {
			problems = append(problems, problem)
		}
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("invalid settings: %w", errors.Join(problems...))
	}
	return settings, nil
}

// jsonKind returns the kind of JSON value that is decoded to a type.
func jsonKind(decoded reflect.Type) string {
	switch decoded.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "an integer"
	}
	return "a number"
}

// isWithin reports whether a key is the given one or lies in its section. The empty key stands for the
// whole file.
func isWithin(key, section string) bool {
	return section == "" || key == section || strings.HasPrefix(key, section+keySeparator)
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

// overloadOptions returns the overload options of the gateway.
func (s *Settings) overloadOptions() gateway.OverloadOptions {
	return gateway.OverloadOptions{
		Off: s.Overload.Off, TenantWeights: s.Overload.TenantWeights,
		HedgeShare: budgetShare(s.Overload.HedgeShare), RetryShare: budgetShare(s.Overload.RetryShare),
	}
}

// budgetShare converts a share of the settings, where 0 means none, to one of gateway.OverloadOptions,
// where 0 means the default.
func budgetShare(share float64) float64 {
	if share == 0 {
		return gateway.NoBudget
	}
	return share
}

// defaultClientStall is the time within which a caller must take or send each 16 KB. It is below the
// idle timeout of connections, and above the pauses of a client that collects garbage or retransmits.
const defaultClientStall = 10 * time.Second

// clientMemoryShare is the share of the process's memory that is held for callers if the settings name none.
const clientMemoryShare = 0.25

const megabyte = 1 << 20

// clientStall returns the time within which a caller must take or send each 16 KB.
func (s *Settings) clientStall() time.Duration {
	return cmp.Or(time.Duration(s.Clients.StallMs)*time.Millisecond, defaultClientStall)
}

// clientMemoryMB returns the memory that is held for callers, in MB; 0 if it has no bound.
func (s *Settings) clientMemoryMB() int {
	return cmp.Or(s.Clients.MemoryMB, int(clientMemoryShare*float64(s.MemoryMB)))
}

// clientMemory returns the budget of the bytes held for callers; nil if it has no bound.
func (s *Settings) clientMemory() *bytebudget.Budget {
	limit := s.clientMemoryMB()
	if limit == 0 {
		return nil
	}
	return bytebudget.New(int64(limit) * megabyte)
}

// settingError says what is wrong with the value of a key.
type settingError struct{ key, message string }

func (e settingError) Error() string { return e.key + " " + e.message }

// maxTenantWeight is the largest weight of a tenant. A larger one would leave tenants of weight 1
// hardly any share.
const maxTenantWeight = 100

func (s *Settings) validate() []settingError {
	var problems []settingError
	require := func(holds bool, key, message string) {
		if !holds {
			problems = append(problems, settingError{key, message})
		}
	}
	requireShare := func(value float64, key string) {
		require(value >= 0 && value <= 1, key, "must be between 0 and 1")
	}
	requireWeights := func(weights map[string]float64, key string) {
		for _, tenant := range slices.Sorted(maps.Keys(weights)) {
			require(weights[tenant] > 0 && weights[tenant] <= maxTenantWeight, key,
				fmt.Sprintf("must hold positive weights up to %d, not %v for %q", maxTenantWeight, weights[tenant], tenant))
		}
	}
	require(s.Node != "", "node", "is missing")
	require(s.Listen.Requests != "", "listen.requests", "is missing")
	require(s.Listen.Readiness != "", "listen.readiness", "is missing")
	require(s.Listen.Internal != "", "listen.internal", "is missing")
	require(s.Store.Address != "", "store.address", "is missing")
	require(s.Store.Partitions > 0, "store.partitions", "must be positive")
	require(s.Access.RevocationMs >= 0, "access.revocation_ms", "must not be negative")
	require(!s.Access.FailClosed || s.Access.RevocationMs > 0, "access.revocation_ms", "must be positive if access.fail_closed is set")
	require(s.Usage.WindowSeconds >= 0, "usage.window_seconds", "must not be negative")
	require(s.Usage.LatenessSeconds >= 0, "usage.lateness_seconds", "must not be negative")
	if s.usageEnabled() {
		require(s.Usage.WindowSeconds > 0, "usage.window_seconds", "must be positive if provider.duties contains usage")
		require(s.Usage.LatenessSeconds > 0, "usage.lateness_seconds", "must be positive if provider.duties contains usage")
	}
	require(s.Scaling.Headroom >= 0, "scaling.headroom", "must not be negative")
	require(s.Scaling.MostServers >= 0, "scaling.most_servers", "must not be negative")
	requireShare(s.Overload.HedgeShare, "overload.hedge_share")
	requireShare(s.Overload.RetryShare, "overload.retry_share")
	requireWeights(s.Overload.TenantWeights, "overload.tenant_weights")
	requireWeights(s.Scheduling.TenantWeights, "scheduling.tenant_weights")
	require(s.OrderPauseMs >= 0, "order_pause_ms", "must not be negative")
	require(s.LeaveBoundMs >= 0, "leave_bound_ms", "must not be negative")
	require(s.GraceSeconds > 0, "grace_seconds", "must be positive")
	require(s.MemoryMB >= 0, "memory_mb", "must not be negative")
	require(s.Clients.StallMs >= 0, "clients.stall_ms", "must not be negative")
	require(s.Clients.MemoryMB >= 0, "clients.memory_mb", "must not be negative")
	require(s.Clients.Connections >= 0, "clients.connections", "must not be negative")
	require(s.Clients.BacklogMB >= 0, "clients.backlog_mb", "must not be negative")
	require(s.Descriptors >= 0, "descriptors", "must not be negative")
	require(s.ProcessorShare >= 0, "processor_share", "must not be negative")
	_, err := zapcore.ParseLevel(s.LogLevel)
	require(err == nil, "log_level", "must be debug, info, warn or error")
	return problems
}
