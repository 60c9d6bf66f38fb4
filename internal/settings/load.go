package settings

import (
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/v2"
	"github.com/rotisserie/eris"
)

// keyDelimiter joins nested keys.
const keyDelimiter = "."

// Load reads, merges and checks the settings. Wrong settings are returned as
// Faults with everything that was found; any other error says that the file
// could not be read.
func Load(options Options) (Settings, error) {
	r := newReader()
	if options.Path != "" {
		if err := r.readFile(options.Path); err != nil {
			return Settings{}, err
		}
	}
	r.readEnvironment(options.Environ)
	r.readFlags(options.Flags)

	settings := Default()
	merged := koanf.New(keyDelimiter)
	if err := merged.Load(confmap.Provider(r.values, keyDelimiter), nil); err != nil {
		return Settings{}, eris.Wrap(err, "merge settings")
	}
	if err := merged.Unmarshal("", &settings); err != nil {
		return Settings{}, eris.Wrap(err, "decode settings")
	}
	r.check(options.Path, settings)
	if len(r.faults) > 0 {
		return Settings{}, r.faults.sorted()
	}
	return settings, nil
}
