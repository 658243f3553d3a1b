package orchestrator

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// taskName is a parsed name of a task.
type taskName struct {
	job         string
	occurrence  int
	step, index int
}

// parseTaskName parses the name of a task, and reports whether it is one.
func parseTaskName(name string) (n taskName, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	n.job = parts[0]
	var err1, err2, err3 error
	n.occurrence, err1 = strconv.Atoi(parts[1])
	n.step, err2 = strconv.Atoi(parts[2])
	n.index, err3 = strconv.Atoi(parts[3])
	return n, cmp.Or(err1, err2, err3) == nil
}

// findTask returns the task with a name, or nil if its job or occurrence has finished or is unknown.
func (o *Orchestrator) findTask(name string) *task {
	n, ok := parseTaskName(name)
	j := o.jobs[n.job]
	if !ok || j == nil || j.state.Final() {
		return nil
	}
	oc := j.occurrence(n.occurrence)
	if oc == nil || n.step < 0 || n.step >= len(oc.steps) || n.index < 0 || n.index >= len(oc.steps[n.step].tasks) {
		return nil
	}
	return oc.steps[n.step].tasks[n.index]
}

// reportedTask returns the task of a run that a worker reports, or nil if its job or occurrence has finished or is unknown.
// It adds an occurrence that an earlier leader has begun and this one has not: its bound on begun occurrences, or its time of
// day, may be behind.
func (o *Orchestrator) reportedTask(name string) *task {
	n, ok := parseTaskName(name)
	j := o.jobs[n.job]
	if !ok || j == nil || j.state.Final() || j.occurrence(n.occurrence) != nil || slices.Contains(j.finishedOccurrences, n.occurrence) {
		return o.findTask(name)
	}
	if s := j.stepAt(o, n.occurrence, n.step, o.now); s != nil {
		o.recount(s.occurrence)
		o.emit(Note{Event: EventOccurrenceFound, Job: j.ID, Task: name, Outcome: "its other tasks wait until this leader begins it",
			Figures: fmt.Sprintf("Occurrence=%d Open=%d Next=%d Due=%s", n.occurrence, j.openOccurrences(), j.nextOccurrence,
				s.occurrence.due.Sub(o.now.Add(o.wallOffset)).Round(time.Millisecond))})
	}
	return o.findTask(name)
}

// jobID returns the ID of the job in a task's name.
func jobID(name string) string {
	id, _, _ := strings.Cut(name, ".")
	return id
}
