package evacuator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/evacuator"
)

// Guards against an evacuation that is forgotten when another one begins or ends, and against one that is
// reported twice.
func TestUpdateReportsEachChangeOnce(t *testing.T) {
	is := is.New(t)
	var e evacuator.Evacuator
	now := time.Unix(1e9, 0)
	is.Equal(e.Update([]string{"north"}, now), []evacuator.Change{{FailureDomain: "north", Outcome: evacuator.OutcomeBegun}})
	is.Equal(len(e.Update([]string{"north"}, now.Add(time.Second))), 0)
	is.Equal(e.Update([]string{"east", "north"}, now.Add(2*time.Second)), []evacuator.Change{{FailureDomain: "east", Outcome: evacuator.OutcomeBegun}})
	is.Equal(e.Update([]string{"east"}, now.Add(5*time.Second)), []evacuator.Change{{FailureDomain: "north", Outcome: evacuator.OutcomeTakenBack, Lasted: 5 * time.Second}})
	is.True(e.Evacuates("east") && !e.Evacuates("north"))
	is.True(e.Settles("north", now.Add(5*time.Second)))
	is.True(!e.Settles("north", now.Add(5*time.Second+evacuator.SettleTime)))
	is.True(!e.Settles("east", now.Add(5*time.Second)))
}

// Loads under which an evacuation begins, with 200 usable workers of 32 cores. Guards against moves that take
// capacity for which tasks wait, and against a wave of moves.
func TestMovesAllowed(t *testing.T) {
	half := evacuator.Surroundings{Workers: 200, Capacity: 6_400_000, Used: 3_200_000}
	for name, c := range map[string]struct {
		change func(*evacuator.Surroundings)
		want   int
	}{
		"half of the capacity is used":      {func(*evacuator.Surroundings) {}, 4},
		"as many as allowed are moving":     {func(s *evacuator.Surroundings) { s.Moving = 4 }, 0},
		"tasks wait":                        {func(s *evacuator.Surroundings) { s.Waiting = 1 }, 0},
		"room for one only":                 {func(s *evacuator.Surroundings) { s.Used = 4_790_000 }, 1},
		"three quarters are used":           {func(s *evacuator.Surroundings) { s.Used = 4_800_000 }, 0},
		"nothing is usable":                 {func(s *evacuator.Surroundings) { *s = evacuator.Surroundings{} }, 0},
		"three workers move one at a time":  {func(s *evacuator.Surroundings) { s.Workers = 3 }, 1},
		"more is used than there is of all": {func(s *evacuator.Surroundings) { s.Used = 7_000_000 }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := half
			c.change(&s)
			is.Equal(evacuator.MovesAllowed(s, 6_400), c.want)
		})
	}
}
