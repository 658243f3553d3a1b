// Package estimator measures how the processor time, memory and traffic of each part of an
// entry host grow with the size of its inputs. From the slopes it estimates the usage of an
// entry host and of the platform's store at the deployment size expected in two years. The
// inputs depend only on the seed. The measured processor times depend on the machine, so
// they are printed but no test checks them.
//
// Lock order: the counting store's mutex is the only lock. It is not held during calls to
// other packages.
package estimator
