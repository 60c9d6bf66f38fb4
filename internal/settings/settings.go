// Package settings loads the configuration of a dalehook process from a YAML
// file, environment variables (DALEHOOK_...) and flags, in increasing
// precedence. All errors are reported at once, each with its key and, for values
// from the file, the line.
package settings

import (
	"time"

	"dalehook/internal/cluster"
)

// Settings is the configuration of a node. The koanf tag of a field is its key in
// the file; nested keys are joined by a dot ("limits.body").
type Settings struct {
	Node Identity `koanf:"node"`
	// Zones lists every zone of the deployment.
	Zones     []cluster.ZoneName `koanf:"zones" validate:"required,min=1,dive,name" help:"all zones of the deployment"`
	Listen    Addresses          `koanf:"listen"`
	Advertise Addresses          `koanf:"advertise"`
	// Peers are the seed addresses (IP:port) used to join the cluster.
	Peers    []string `koanf:"peers" validate:"dive,ip_port" help:"peer addresses of other nodes to join by"`
	Platform Platform `koanf:"platform"`
	Limits   Limits   `koanf:"limits"`
	Capacity Capacity `koanf:"capacity"`
	Log      Log      `koanf:"log"`
}

// Identity is a node's name and location.
type Identity struct {
	ID     cluster.NodeID     `koanf:"id" validate:"required,name" help:"name of this node, unique in the cluster"`
	Zone   cluster.ZoneName   `koanf:"zone" validate:"required,name" help:"zone of this node"`
	Region cluster.RegionName `koanf:"region" validate:"omitempty,name" help:"region of this node"`
}

// Addresses are a node's client and peer addresses, each IP:port. Port 0 binds a
// free port in a listen address and is invalid in an advertised one. An empty
// advertised address defaults to the listener's address.
type Addresses struct {
	Client string `koanf:"client" validate:"omitempty,ip_port" help:"address towards callers and operators"`
	Peer   string `koanf:"peer" validate:"omitempty,ip_port" help:"address towards other nodes"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log      URL `koanf:"log" validate:"required,base_url" help:"base URL of the log service"`
	Weights  URL `koanf:"weights" validate:"required,base_url" help:"base URL of the weight store"`
	Machines URL `koanf:"machines" validate:"required,base_url" help:"base URL of the machine list"`
}

// Limits are the size, concurrency and time limits of one node.
type Limits struct {
	// MaxBodySize is the largest accepted request body, except for steps.
	MaxBodySize Size `koanf:"body" validate:"gt=0" help:"largest request body"`
	// MaxStepBodySize is the largest accepted body of a step.
	MaxStepBodySize Size `koanf:"step_body" validate:"gt=0" help:"largest body of a step"`
	// MaxResponseSize is the largest backend response that the node buffers.
	// The recorded response of an unrepeatable request is buffered as a whole.
	MaxResponseSize Size `koanf:"answer" validate:"gt=0" help:"largest buffered answer of a back end"`
	// MaxOpenCalls is the maximum number of concurrent calls of all kinds.
	MaxOpenCalls int `koanf:"open_calls" validate:"gt=0" help:"calls of any kind that may be open"`
	// Deadline is the default deadline of a service request.
	Deadline time.Duration `koanf:"deadline" validate:"gt=0" help:"deadline of a request that names none"`
	// MaxDeadline is the longest deadline that a caller may request.
	MaxDeadline time.Duration `koanf:"max_deadline" validate:"gtefield=Deadline" help:"longest deadline a caller may name"`
	// MaxWait is the longest time that a trainer's long-polling read waits for
	// samples.
	MaxWait time.Duration `koanf:"max_wait" validate:"gt=0" help:"longest wait of a read of samples"`
	// RetryShare is the retry budget: the ratio of retries to first attempts.
	RetryShare float64 `koanf:"retry_share" validate:"gte=0,lte=1" help:"retries as a share of first attempts"`
	// MaxAttempts is the maximum number of attempts of a repeatable request.
	MaxAttempts int `koanf:"attempts" validate:"gt=0" help:"how often one repeatable request is sent"`
	// MaxQueueLength is the maximum number of requests queued for one service.
	MaxQueueLength int `koanf:"queue" validate:"gt=0" help:"requests to one service that may wait"`
	// KeyLifetime is how long the outcome of an unrepeatable request is kept
	// under its idempotency key.
	KeyLifetime time.Duration `koanf:"key_lifetime" validate:"gt=0" help:"how long the outcome of an unrepeatable request is kept"`
	// LeaveGrace is how long a leaving node still accepts requests from callers
	// with an outdated server list.
	LeaveGrace time.Duration `koanf:"leave_grace" validate:"gte=0" help:"how long a leaving node goes on taking requests"`
}

// Capacity describes the backends, for planning and for rate limiting of weight
// loads. Zero selects the default of the package that uses the value.
type Capacity struct {
	// EngineTokensPerSecond is an engine's throughput with a full batch,
	// StreamTokensPerSecond that of the only stream on an engine.
	EngineTokensPerSecond float64 `koanf:"engine_tokens_per_second" validate:"gte=0" help:"output of an engine with a full batch"`
	StreamTokensPerSecond float64 `koanf:"stream_tokens_per_second" validate:"gte=0" help:"output of a stream that is alone on its engine"`
	// ServerSlots is the number of concurrent requests of a service server.
	ServerSlots int `koanf:"server_slots" validate:"gte=0" help:"requests that a service server runs at once"`
	// LoadTime is the duration of one weight load.
	LoadTime time.Duration `koanf:"load_time" validate:"gte=0" help:"time of one load of weights"`
	// LoadMargin is the time between the last weight load and the start of an
	// event.
	LoadMargin time.Duration `koanf:"load_margin" validate:"gte=0" help:"time between the last load and the start of an event"`
	// WeightLoadsPerSecond is the rate limit of the weight store.
	WeightLoadsPerSecond float64 `koanf:"weight_loads_per_second" validate:"gte=0" help:"loads a second that the weight store allows"`
}

// Log configures logging.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warn error" help:"log level: debug, info, warn or error"`
}

// Size is a number of bytes, written with a unit ("8MiB").
type Size int64

// URL is an HTTP base URL without a trailing slash.
type URL string

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Listen: Addresses{Client: "127.0.0.1:0", Peer: "127.0.0.1:0"},
		Limits: Limits{
			MaxBodySize:     8 << 20,
			MaxStepBodySize: 32 << 20,
			MaxResponseSize: 8 << 20,
			MaxOpenCalls:    16384,
			Deadline:        30 * time.Second,
			MaxDeadline:     10 * time.Minute,
			MaxWait:         time.Minute,
			RetryShare:      0.1,
			MaxAttempts:     3,
			MaxQueueLength:  512,
			KeyLifetime:     10 * time.Minute,
			LeaveGrace:      5 * time.Second,
		},
		Log: Log{Level: "info"},
	}
}

// Options are the sources of the settings.
type Options struct {
	// Path is the path of the YAML file; empty for none.
	Path string
	// Flags holds values by key ("node.id"). They have the highest precedence.
	Flags map[string]string
	// Environ is the environment in the form returned by os.Environ.
	Environ []string
}
