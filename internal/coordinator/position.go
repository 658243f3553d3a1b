package coordinator

import "time"

// watchOverlap is how far back at least a repeated watch looks. A watch may miss a change that is made while
// the store is about to drop its history, which takes a second.
const watchOverlap = 3 * time.Second

// watchPosition is the position of a repeated watch in the store's history. Each watch begins at a revision
// that is at least watchOverlap old, so that changes which one watch misses are reported by a later one.
type watchPosition struct {
	points []watchPoint // in the order of time; the first is where the next watch begins
}

// watchPoint is a revision of the store and the time at which it was current.
type watchPoint struct {
	revision uint64
	at       time.Time
}

// restart begins anew at a revision that was current at a time. All changes up to it are known.
func (p *watchPosition) restart(revision uint64, at time.Time) {
	p.points = append(p.points[:0], watchPoint{revision, at})
}

// advance records that a watch has reported all changes up to a revision that was current at a time.
func (p *watchPosition) advance(revision uint64, at time.Time) {
	if n := len(p.points); n == 0 || revision > p.points[n-1].revision {
		p.points = append(p.points, watchPoint{revision, at})
	}
	for len(p.points) > 1 && at.Sub(p.points[1].at) >= watchOverlap {
		p.points = p.points[1:]
	}
}

// start returns the revision at which the next watch begins.
func (p *watchPosition) start() uint64 {
	if len(p.points) == 0 {
		return 0
	}
	return p.points[0].revision
}
