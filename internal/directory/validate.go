package directory

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of what the entry of a server may state. Sums and products of such numbers, over all servers, do not overflow.
const (
	// MaxSlots is the largest number of requests that a server runs at once.
	MaxSlots = 1 << 20
	// MaxVersion is the largest weight version, and MaxBorn the latest start time in Unix ms.
	MaxVersion = 1 << 53
	MaxBorn    = 1 << 53
	// MaxWarmUp is the longest warm-up.
	MaxWarmUp = 24 * time.Hour
	// MaxModels is the largest number of models of a server.
	MaxModels = 1000
	// MaxNameBytes is the size of the longest name.
	MaxNameBytes = 1 << 10
)

// ErrInvalidServer is the error of an entry that cannot be that of a server.
var ErrInvalidServer = eris.New("invalid server")

// Validate returns an ErrInvalidServer unless the server may be one: other processes write entries too, and one of them
// must not disturb what is computed over all servers.
func (s *Server) Validate(now time.Time) error {
	switch {
	case s.Service == "":
		return eris.Wrap(ErrInvalidServer, "no service")
	case !isServerAddress(s.Address):
		return eris.Wrapf(ErrInvalidServer, "address %.64q", s.Address)
	case s.Slots == 0:
		return eris.Wrap(ErrInvalidServer, "no slots")
	}
	return s.CheckBounds(now)
}

// CheckBounds returns an ErrInvalidServer if a number or a name is out of bounds. Warm-ups are checked against now.
func (s *Server) CheckBounds(now time.Time) error {
	switch {
	case tooLong(s.ID, s.Service, s.Zone, s.Address):
		return eris.Wrap(ErrInvalidServer, "name")
	case s.Slots < 0 || s.Slots > MaxSlots:
		return eris.Wrapf(ErrInvalidServer, "%d slots", s.Slots)
	case s.Born < 0 || s.Born > MaxBorn:
		return eris.Wrapf(ErrInvalidServer, "born %d", s.Born)
	case s.WarmAt.Sub(now) > MaxWarmUp:
		return eris.Wrapf(ErrInvalidServer, "warm at %v", s.WarmAt)
	case len(s.Versions) > MaxModels:
		return eris.Wrapf(ErrInvalidServer, "%d models", len(s.Versions))
	}
	return validateVersions(s.Versions)
}

func validateVersions(versions map[string]int64) error {
	for model, version := range versions {
		if model == "" || tooLong(model) {
			return eris.Wrap(ErrInvalidServer, "name of a model")
		}
		if version < 0 || version > MaxVersion {
			return eris.Wrapf(ErrInvalidServer, "version %d", version)
		}
	}
	return nil
}

// isServerAddress reports whether a text is an IP address with a port to which a connection can be opened.
func isServerAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}

func tooLong(names ...string) bool {
	for _, name := range names {
		if len(name) > MaxNameBytes {
			return true
		}
	}
	return false
}
