package orchestrator

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// swingSamples passes the tail latencies of 6 tasks of one step to update for 10 s, two a
// second for each task. The load of their callers rises and falls together, between a
// utilization of 0.2 and 0.64. All the time, a best-effort task of image loud on a tenth of
// the processors adds 0.3 to the first two tasks, and one of image calm adds 0.01 to the next two.
func swingSamples(update func(task int, tailRatio float64, loads map[string]float64, now time.Time)) {
	const (
		tasks  = 6
		share  = 0.1
		idle   = 0.22 // tail latency of an idle task as a share of the target of 18 ms
		target = 18
	)
	start := time.Unix(1e9, 0)
	beside := [tasks]map[string]float64{{"loud": share}, {"loud": share}, {"calm": share}, {"calm": share}, {}, {}}
	for ms := 0; ms < 10_000; ms += 500 / tasks {
		task := ms / (500 / tasks) % tasks
		own := 0.42 + 0.22*math.Sin(2*math.Pi*float64(ms)/10_000)
		tail := idle / (1 - min(own+3*beside[task]["loud"]+0.1*beside[task]["calm"], 0.97))
		tailRatio := math.Round(target*tail) / target // workers report whole milliseconds
		update(task, tailRatio, beside[task], start.Add(time.Duration(ms)*time.Millisecond))
	}
}

// The latency target of an image is nine times the tail latency of an idle task. Guards against
// limits that fit only one ratio of target to idle tail latency: best-effort tasks would be
// throttled far below the target.
func TestUtilizationLimitFollowsIdleTail(t *testing.T) {
	is := is.New(t)
	m := newInterferenceModel().image("web")
	before := m.utilizationLimit()
	is.True(m.utilization(1)-before <= 0.03) // tasks are not throttled far below the target
	m.update(&ownLoadEstimate{}, 1.0/9, nil, time.Unix(1e9, 0))
	is.True(before < m.utilization(1)) // the limit is below the target
	is.True(m.utilizationLimit() > before+0.1)
	is.True(m.utilizationLimit() < m.utilization(1))
}

// The load of callers swings for all tasks of a step at the same time, and the same
// best-effort tasks run beside them all the time. Guards against a model that takes
// interference for load of the callers: tasks that interfere would start beside others, and
// harmless ones would wait.
func TestSwingingLoadIsNotTakenForInterference(t *testing.T) {
	for _, c := range []struct {
		name          string
		ofStep, holds bool
	}{
		{"own load of the step", true, true},
		{"own load of each task", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newInterferenceModel()
			web := m.image("web")
			estimates := make(map[int]*ownLoadEstimate)
			swingSamples(func(task int, tailRatio float64, loads map[string]float64, now time.Time) {
				if c.ofStep {
					task = 0
				}
				if estimates[task] == nil {
					estimates[task] = &ownLoadEstimate{}
				}
				var byIndex []imageLoad
				for _, image := range []string{"calm", "loud"} {
					if load, ok := loads[image]; ok {
						byIndex = append(byIndex, imageLoad{m.index(image), load})
					}
				}
				web.update(estimates[task], tailRatio, byIndex, now)
			})
			loud, calm := web.pair(m.index("loud")).coefficient, web.pair(m.index("calm")).coefficient
			// The actual coefficients are 3 and 0.1. A third of the loud one may be missing, and
			// calm must not count as interfering.
			if holds := loud >= 2 && calm < separationCoefficient; holds != c.holds {
				t.Errorf("coefficients: loud %.2f, want at least 2; calm %.2f, want less than %.2f; holds = %t, want %t",
					loud, calm, separationCoefficient, holds, c.holds)
			}
		})
	}
}
