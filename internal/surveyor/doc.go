// Package surveyor measures how the cost of each part of an entry host grows with its
// size, and works out from the slopes what an entry host and the platform's store need
// at the size of two years from now. Its inputs are the same for the same seed. Its
// figures of processor time depend on the machine: they are printed, never judged.
//
// Lock order: the counting store's mutex is the only one. It is not held while another
// package is called.
package surveyor
