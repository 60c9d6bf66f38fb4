package settings

import (
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/v2"
	"github.com/rotisserie/eris"
)

// keyDelimiter separates the parts of a nested key.
const keyDelimiter = "."

// Load reads, merges and validates the settings. Invalid settings return
// FieldErrors with all problems found; any other error means that the file
// could not be read or the values not merged.
func Load(options Options) (Settings, error) {
	l := newLoader()
	if options.Path != "" {
		if err := l.readFile(options.Path); err != nil {
			return Settings{}, err
		}
	}
	l.readEnvironment(options.Environ)
	l.readFlags(options.Flags)

	settings := Default()
	merged := koanf.New(keyDelimiter)
	if err := merged.Load(confmap.Provider(l.values, keyDelimiter), nil); err != nil {
		return Settings{}, eris.Wrap(err, "merge settings")
	}
	if err := merged.Unmarshal("", &settings); err != nil {
		return Settings{}, eris.Wrap(err, "decode settings")
	}
	l.validate(options.Path, settings)
	if len(l.errors) > 0 {
		return Settings{}, l.errors.sorted()
	}
	return settings, nil
}
