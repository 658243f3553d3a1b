// Package configurator defines the operators' configuration: its types, INI format,
// validation, diff and signature, and the rule by which an entry host adopts a new
// generation (numbered version) of the configuration. It imports no other package of this
// project, so that every package can use its types.
package configurator
