// Package settings reads what a dalehook process is told at its start: a YAML
// file, environment variables (DALEHOOK_...) and flags, in rising precedence.
// All faults are reported at once, each with the name of its key and, where it
// stands in the file, its line.
package settings

import (
	"time"

	"dalehook/internal/cluster"
)

// Settings is everything a node is told. The key of a field in the file is its
// koanf tag; nested keys are joined by a dot ("limits.body").
type Settings struct {
	Node Identity `koanf:"node"`
	// Zones lists every zone of the deployment.
	Zones     []cluster.ZoneName `koanf:"zones" validate:"required,min=1,dive,name" help:"all zones of the deployment"`
	Listen    Addresses          `koanf:"listen"`
	Advertise Addresses          `koanf:"advertise"`
	// Peers are the peer addresses (IP:port) of other nodes to join by.
	Peers    []string `koanf:"peers" validate:"dive,ip_port" help:"peer addresses of other nodes to join by"`
	Platform Platform `koanf:"platform"`
	Limits   Limits   `koanf:"limits"`
	Capacity Capacity `koanf:"capacity"`
	Log      Log      `koanf:"log"`
}

// Identity says who a node is and where it stands.
type Identity struct {
	ID     cluster.NodeID     `koanf:"id" validate:"required,name" help:"name of this node, unique in the cluster"`
	Zone   cluster.ZoneName   `koanf:"zone" validate:"required,name" help:"zone of this node"`
	Region cluster.RegionName `koanf:"region" validate:"omitempty,name" help:"region of this node"`
}

// Addresses are the two addresses of a node, each IP:port. Port 0 takes a free
// port when listening and is refused when advertised. An empty advertised
// address means the listener's own.
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

// Limits bound what one node takes and how long it keeps it.
type Limits struct {
	// Body is the largest request body that the node takes, steps aside.
	Body Size `koanf:"body" validate:"gt=0" help:"largest request body"`
	// StepBody is the largest body of a step.
	StepBody Size `koanf:"step_body" validate:"gt=0" help:"largest body of a step"`
	// Answer is the largest back-end answer that the node buffers; an
	// unrepeatable request's recorded answer is buffered whole.
	Answer Size `koanf:"answer" validate:"gt=0" help:"largest buffered answer of a back end"`
	// OpenCalls is the number of calls of any kind that may be open at once.
	OpenCalls int `koanf:"open_calls" validate:"gt=0" help:"calls of any kind that may be open"`
	// Deadline bounds a service request whose caller named none.
	Deadline time.Duration `koanf:"deadline" validate:"gt=0" help:"deadline of a request that names none"`
	// MaxDeadline is the longest deadline that a caller may name.
	MaxDeadline time.Duration `koanf:"max_deadline" validate:"gtefield=Deadline" help:"longest deadline a caller may name"`
	// MaxWait is the longest that a trainer's read may wait for samples.
	MaxWait time.Duration `koanf:"max_wait" validate:"gt=0" help:"longest wait of a read of samples"`
	// RetryShare is the retry budget: retries as a share of first attempts.
	RetryShare float64 `koanf:"retry_share" validate:"gte=0,lte=1" help:"retries as a share of first attempts"`
	// Attempts is how often one repeatable request is sent to a back end.
	Attempts int `koanf:"attempts" validate:"gt=0" help:"how often one repeatable request is sent"`
	// Queue is the number of requests to one service that may wait for a server.
	Queue int `koanf:"queue" validate:"gt=0" help:"requests to one service that may wait"`
	// KeyLifetime is how long the outcome of an unrepeatable request is kept.
	KeyLifetime time.Duration `koanf:"key_lifetime" validate:"gt=0" help:"how long the outcome of an unrepeatable request is kept"`
	// LeaveGrace is how long a leaving node goes on taking requests from callers
	// whose lists lag.
	LeaveGrace time.Duration `koanf:"leave_grace" validate:"gte=0" help:"how long a leaving node goes on taking requests"`
}

// Capacity describes the machines behind dalehook, for plans and for the pace
// of weight loads. Zero takes the default of the package that uses it.
type Capacity struct {
	// EngineTokens is an engine's output in tokens a second with a full batch,
	// StreamTokens that of a stream which is alone.
	EngineTokens float64 `koanf:"engine_tokens_per_second" validate:"gte=0" help:"output of an engine with a full batch"`
	StreamTokens float64 `koanf:"stream_tokens_per_second" validate:"gte=0" help:"output of a stream that is alone on its engine"`
	// ServerSlots is the number of requests that a service server runs at once.
	ServerSlots int `koanf:"server_slots" validate:"gte=0" help:"requests that a service server runs at once"`
	// LoadTime is the time of one load of weights.
	LoadTime time.Duration `koanf:"load_time" validate:"gte=0" help:"time of one load of weights"`
	// LoadMargin lies between the last load and the start of an event.
	LoadMargin time.Duration `koanf:"load_margin" validate:"gte=0" help:"time between the last load and the start of an event"`
	// WeightLoads is the weight store's rate in loads a second.
	WeightLoads float64 `koanf:"weight_loads_per_second" validate:"gte=0" help:"loads a second that the weight store allows"`
}

// Log says what is logged.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warn error" help:"log level: debug, info, warn or error"`
}

// Size is a number of bytes; it is written with its unit ("8MiB").
type Size int64

// URL is an http base URL without a trailing slash.
type URL string

// Default returns the settings that hold where nothing else is stated.
func Default() Settings {
	return Settings{
		Listen: Addresses{Client: "127.0.0.1:0", Peer: "127.0.0.1:0"},
		Limits: Limits{
			Body:        8 << 20,
			StepBody:    32 << 20,
			Answer:      8 << 20,
			OpenCalls:   16384,
			Deadline:    30 * time.Second,
			MaxDeadline: 10 * time.Minute,
			MaxWait:     time.Minute,
			RetryShare:  0.1,
			Attempts:    3,
			Queue:       512,
			KeyLifetime: 10 * time.Minute,
			LeaveGrace:  5 * time.Second,
		},
		Log: Log{Level: "info"},
	}
}

// Options say where settings come from.
type Options struct {
	// Path names the YAML file; empty for none.
	Path string
	// Flags holds values by key ("node.id"); they win over all else.
	Flags map[string]string
	// Environ is the environment as os.Environ returns it.
	Environ []string
}
