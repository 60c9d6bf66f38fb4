// Package settings reads what a dalehook process is told at its start: a YAML
// file, environment variables (DALEHOOK_...) and flags, in rising precedence.
// All faults are reported at once, each with the name of its key and, where it
// stands in the file, its line.
package settings

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"dalehook/internal/cluster"
)

// Settings is everything a node is told. The key of a field in the file is its
// koanf tag; nested keys are joined by a dot ("limits.body").
type Settings struct {
	Node Identity `koanf:"node"`
	// Zones lists every zone of the deployment.
	Zones     []cluster.ZoneName `koanf:"zones" validate:"required,min=1,unique,dive,name"`
	Listen    Addresses          `koanf:"listen"`
	Advertise Addresses          `koanf:"advertise"`
	// Peers are the peer addresses (IP:port) of other nodes to join by.
	Peers    []string `koanf:"peers" validate:"unique,dive,ip_port"`
	Platform Platform `koanf:"platform"`
	Limits   Limits   `koanf:"limits"`
	Log      Log      `koanf:"log"`
}

// Identity says who a node is and where it stands.
type Identity struct {
	ID     cluster.NodeID     `koanf:"id" validate:"required,name"`
	Zone   cluster.ZoneName   `koanf:"zone" validate:"required,name"`
	Region cluster.RegionName `koanf:"region" validate:"omitempty,name"`
}

// Addresses are the two addresses of a node, each IP:port. Port 0 takes a free
// port when listening and is refused when advertised. An empty advertised
// address means the listener's own.
type Addresses struct {
	Client string `koanf:"client" validate:"omitempty,ip_port"`
	Peer   string `koanf:"peer" validate:"omitempty,ip_port"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log      URL `koanf:"log" validate:"required"`
	Weights  URL `koanf:"weights" validate:"required"`
	Machines URL `koanf:"machines" validate:"required"`
}

// Limits bound what one node takes and how long it keeps it.
type Limits struct {
	// Body is the largest request body that the node takes.
	Body Size `koanf:"body" validate:"gt=0"`
	// Answer is the largest back-end answer that the node buffers; an
	// unrepeatable request's recorded answer is buffered whole.
	Answer Size `koanf:"answer" validate:"gt=0"`
	// Concurrent is the largest number of requests in flight in one class.
	Concurrent int `koanf:"concurrent" validate:"gt=0"`
	// Classes overrides Concurrent for single classes.
	Classes map[string]int `koanf:"classes" validate:"dive,gt=0"`
	// Deadline bounds a service request whose caller named none.
	Deadline time.Duration `koanf:"deadline" validate:"gt=0"`
	// MaxDeadline is the longest deadline that a caller may name.
	MaxDeadline time.Duration `koanf:"max_deadline" validate:"gtefield=Deadline"`
	// MaxWait is the longest that a trainer's read may wait for samples.
	MaxWait time.Duration `koanf:"max_wait" validate:"gt=0"`
	// RetryShare is the retry budget: retries as a share of first attempts.
	RetryShare float64 `koanf:"retry_share" validate:"gte=0,lte=1"`
	// KeyLifetime is how long the outcome of an unrepeatable request is kept.
	KeyLifetime time.Duration `koanf:"key_lifetime" validate:"gt=0"`
	// LeaveGrace is how long a leaving node goes on taking requests from callers
	// whose lists lag.
	LeaveGrace time.Duration `koanf:"leave_grace" validate:"gte=0"`
}

// Log says what is logged.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warn error"`
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
			Answer:      8 << 20,
			Concurrent:  512,
			Deadline:    30 * time.Second,
			MaxDeadline: 10 * time.Minute,
			MaxWait:     time.Minute,
			RetryShare:  0.1,
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

// isAddress reports whether text is IP:port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// isURL reports whether text is an http URL with a host and without a trailing slash.
func isURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil {
		return false
	}
	return parsed.Scheme == "http" && parsed.Host != "" && !strings.HasSuffix(text, "/")
}
