package configurator

// Parse reads a configuration. Its errors are of type *InvalidError and list every
// fault of the text.
func Parse(_ []byte) (*Configuration, error) { return nil, &InvalidError{} }

// Print returns the configuration's text. The text is the same for equal
// configurations, and Parse returns an equal configuration for it.
func Print(_ *Configuration) []byte { return nil }

// Diff returns the differences from a to b, one line for each section or key. A nil
// configuration counts as empty.
func Diff(_, _ *Configuration) string { return "" }
