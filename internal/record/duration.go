package record

import (
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is written as text ("90s") in JSON and YAML.
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes the duration as time.Duration prints it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with its unit; a bare number is refused.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrapf(err, "parse duration %q", text)
	}
	*d = Duration(value)
	return nil
}
