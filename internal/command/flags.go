package command

import (
	"flag"
	"fmt"

	"dalehook/internal/settings"
)

// settingsFlags are the flags of the subcommands that take a node's settings:
// the file, and one flag for each key.
type settingsFlags struct {
	path   string
	values map[string]string
}

func (s *settingsFlags) register(flags *flag.FlagSet) {
	s.values = map[string]string{}
	flags.StringVar(&s.path, "settings", "", "settings `file` in YAML")
	for _, field := range settings.Fields() {
		flags.Func(field.Key, field.Help, func(text string) error {
			s.values[field.Key] = text
			return nil
		})
	}
}

// load reads the settings and reports what is wrong with them.
func (s *settingsFlags) load(streams Streams) (settings.Settings, bool) {
	loaded, err := settings.Load(settings.Options{
		Path:    s.path,
		Flags:   s.values,
		Environ: streams.Environ,
	})
	if err != nil {
		fmt.Fprintln(streams.Error, err)
		return settings.Settings{}, false
	}
	return loaded, true
}

// refuseArguments reports whether arguments stand after the flags. No
// subcommand takes any.
func refuseArguments(streams Streams, flags *flag.FlagSet) bool {
	if flags.NArg() == 0 {
		return false
	}
	fmt.Fprintf(streams.Error, "%s: unexpected argument %q\n", flags.Name(), flags.Arg(0))
	return true
}
