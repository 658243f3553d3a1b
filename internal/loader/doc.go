// Package loader reads the settings file of an entry host process: its addresses, its
// failure domain, its peers, the store's address and the operators' public keys. A file
// is checked as a whole and all of its faults are listed with their lines.
package loader
