package command

import (
	"flag"
	"fmt"

	"dalehook/internal/settings"
)

// settingsFlags are the flags of subcommands that load a node's settings: the
// file, and one flag per settings key.
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

// load loads the settings. It prints the errors and returns false if they are
// invalid.
func (s *settingsFlags) load(streams Streams) (settings.Settings, bool) {
	config, err := settings.Load(settings.Options{
		Path:    s.path,
		Flags:   s.values,
		Environ: streams.Environ,
	})
	if err != nil {
		fmt.Fprintln(streams.Error, err)
		return settings.Settings{}, false
	}
	return config, true
}

// rejectArguments reports whether there are positional arguments, and prints an
// error if so. It is for subcommands that take flags only.
func rejectArguments(streams Streams, flags *flag.FlagSet) bool {
	if flags.NArg() == 0 {
		return false
	}
	fmt.Fprintf(streams.Error, "%s: unexpected argument %q\n", flags.Name(), flags.Arg(0))
	return true
}
