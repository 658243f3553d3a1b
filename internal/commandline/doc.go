// Package commandline implements the subcommands of peridotpitch. The exit codes are 0
// (done), 1 (refused or failed), 2 (usage error) and 3 (entry host or store unreachable, or
// outcome unknown).
package commandline
