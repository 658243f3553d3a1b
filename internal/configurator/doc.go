// Package configurator defines the operators' configuration: its types, INI format,
// validation, diff and signature, and the rule by which an entry host adopts a
// generation. It imports no other package of this project, so that every package can
// use its types.
package configurator
