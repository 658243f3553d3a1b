// Package commandline implements the subcommands of peridotpitch. Its exit codes are 0
// (done), 1 (refused or failed), 2 (usage) and 3 (unreachable or unknown outcome).
package commandline
