// Package configurator holds the operators' configuration: its types, its INI
// format, validation, diff, signing, and the rule that decides which generation an
// entry host adopts. It imports no other package of this project, so that every
// package may use its types.
package configurator
