package admitter

import "slices"

const (
	// tailWindow is the number of recent jobs of a queue by which the sizes of jobs are ranked. The largest tenth
	// has about 25 jobs then.
	tailWindow = 256
	// maxRefusalFactor is how much more often than all jobs of a queue its large ones may be refused.
	maxRefusalFactor = 1.5
	// minServedShare is the share of the whole queue's rate of acceptance that large jobs must have. It takes over from
	// maxRefusalFactor where more than half of the queue is refused.
	minServedShare = 0.5
)

// tail holds the sizes and decisions of the recent jobs of one queue.
type tail struct {
	jobs [tailWindow]sizedJob
	n    int // jobs ever added
}

type sizedJob struct {
	work    float64
	refused bool
}

func (t *tail) add(work float64, refused bool) {
	t.jobs[t.n%tailWindow] = sizedJob{work, refused}
	t.n++
}

// exceeds reports whether the refusal of a job would refuse the large jobs of the queue too often: the largest tenth,
// or the fifth below it. nil has no jobs.
func (t *tail) exceeds(work float64) bool {
	if t == nil {
		return false
	}
	jobs := append(slices.Clone(t.jobs[:min(t.n, tailWindow)]), sizedJob{work, true})
	sizes := make([]float64, 0, len(jobs))
	for _, j := range jobs {
		sizes = append(sizes, j.work)
	}
	slices.Sort(sizes)
	tenth, fifth := sizes[len(sizes)*9/10], sizes[len(sizes)*7/10]
	lo, hi := fifth, tenth // of the group, hi excluded
	switch {
	case work < fifth:
		return false
	case work >= tenth:
		lo, hi = tenth, sizes[len(sizes)-1]+1
	}
	group := refusalRate(jobs, lo, hi)
	all := refusalRate(jobs, 0, sizes[len(sizes)-1]+1)
	return group > maxRefusalFactor*all || 1-group < minServedShare*(1-all)
}

// refusalRate returns the share of the jobs with lo <= work < hi that were refused.
func refusalRate(jobs []sizedJob, lo, hi float64) float64 {
	n, refused := 0, 0
	for _, j := range jobs {
		if j.work >= lo && j.work < hi {
			n++
			if j.refused {
				refused++
			}
		}
	}
	return float64(refused) / float64(max(1, n))
}
