package connector

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// reservedShare is the share of the descriptors that is left to callers, other hosts, the store and files.
	reservedShare = 0.2
	// pollShare is the share of a budget that long polls may hold. The rest is for commands.
	pollShare = 0.95
	// exhaustionShare is the share of the open connections that a budget allows after descriptors have run out.
	exhaustionShare = 0.9
	// limitRecovery is the share of its limit by which a budget grows per second after descriptors have run out:
	// other connections of the process may have needed them.
	limitRecovery = 0.01
	// minLimit is the smallest limit of a budget, so that a process whose descriptors others have used up still
	// reaches workers.
	minLimit = 32
	// connectsPerCore is the number of first connections to workers that are opened at the same time, for each core
	// that the process may use. A new leader that opens thousands at once has no processor time left for the store
	// and for other hosts, and is deposed before it has reached its workers.
	connectsPerCore = 200
	// minConcurrentConnects bounds it from below.
	minConcurrentConnects = 16
	// defaultDescriptors is assumed if the limit of the process is not known.
	defaultDescriptors = 4096
)

// ExhaustedError reports that a connection could not be opened, because the process has too many connections.
type ExhaustedError struct {
	Limit int   // connections that the budget allows
	Cause error // of the operating system; nil: the budget refused the connection
}

func (e *ExhaustedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("no file descriptor for a connection, at most %d are used from now on: %v", e.Limit, e.Cause)
	}
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

func (e *ExhaustedError) Unwrap() error { return e.Cause }

// Descriptors returns the process's limit of file descriptors.
func Descriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur == 0 || l.Cur > 1<<20 {
		return defaultDescriptors
	}
	return int(l.Cur)
}

// IsExhausted reports whether an error means that the process or the machine has no file descriptor left.
func IsExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Budget limits the connections that a process opens to workers. The limit of the operating system may be lower than
// the process is told, and other connections count too, so the budget shrinks when descriptors run out and grows again
// afterwards. It is safe for concurrent use.
type Budget struct {
	connects int // see ConcurrentConnects

	mu      sync.Mutex // guards the fields below
	maximum float64    // limit while descriptors have not run out
	limit   float64    // as of limitAt
	limitAt time.Time
	open    int
	polls   int // long polls with a place of their own
}

// NewBudget returns the budget of a process that may have so many file descriptors and use so many processor cores.
func NewBudget(descriptors int, processors float64) *Budget {
	m := max(minLimit, (1-reservedShare)*float64(descriptors))
	return &Budget{maximum: m, limit: m, connects: max(minConcurrentConnects, int(connectsPerCore*processors))}
}

// ConcurrentConnects returns the number of first connections to workers that may be opened at the same time.
func (b *Budget) ConcurrentConnects() int { return b.connects }

// Acquire counts a connection that is about to be opened, unless the limit has been reached. The caller must call
// Release when the connection has been closed or could not be opened.
func (b *Budget) Acquire(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.open) >= b.limitNow(now) {
		return false
	}
	b.open++
	return true
}

// Release takes back an Acquire.
func (b *Budget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

// AcquirePoll counts a worker that is about to be polled, unless polls have reached their share of the limit.
func (b *Budget) AcquirePoll(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.polls) >= pollShare*b.limitNow(now) {
		return false
	}
	b.polls++
	return true
}

// ReleasePoll takes back an AcquirePoll.
func (b *Budget) ReleasePoll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.polls--
}

// Exhausted lowers the limit, because the operating system refused a descriptor. It returns the new limit.
func (b *Budget) Exhausted(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(minLimit, min(b.limitNow(now), exhaustionShare*float64(b.open)))
	b.limitAt = now
	return int(b.limit)
}

// Limit returns the connections that the budget allows, and those that are open.
func (b *Budget) Limit(now time.Time) (limit, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.limitNow(now)), b.open
}

// limitNow returns the limit, which grows by limitRecovery per second after descriptors have run out. b.mu must be held.
func (b *Budget) limitNow(now time.Time) float64 {
	if b.limitAt.IsZero() {
		return b.maximum
	}
	return min(b.maximum, b.limit*(1+limitRecovery*now.Sub(b.limitAt).Seconds()))
}
