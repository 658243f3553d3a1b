package orchestrator

// Values of Note.Event. docs/OPERATIONS.md explains each.
const (
	EventJobAdded          = "JobAdded"
	EventJobFinished       = "JobFinished"
	EventStart             = "Start"
	EventStartRefused      = "StartRefused"
	EventStartDeferred     = "StartDeferred"
	EventStop              = "Stop"
	EventCopy              = "Copy"
	EventEnd               = "End"
	EventAdopt             = "Adopt"
	EventRunLost           = "RunLost"
	EventResend            = "Resend"
	EventCrash             = "CrashCounted"
	EventWait              = "Wait"
	EventThrottle          = "Pace"
	EventAdvice            = "Advice"
	EventLoad              = "Load"
	EventWorkerListed      = "WorkerListed"
	EventWorkerReached     = "WorkerReached"
	EventWorkerLost        = "WorkerLost"
	EventWorkerQuarantined = "WorkerAvoided"
	EventEvacuation        = "Evacuation"
	EventSlowRun           = "SlowRun"
)

// Events returns all values of Note.Event.
func Events() []string {
	return []string{
		EventJobAdded, EventJobFinished, EventStart, EventStartRefused, EventStartDeferred, EventStop, EventCopy, EventEnd, EventAdopt,
		EventRunLost, EventResend, EventCrash, EventWait, EventThrottle, EventAdvice, EventLoad, EventWorkerListed, EventWorkerReached, EventWorkerLost, EventWorkerQuarantined, EventEvacuation, EventSlowRun,
	}
}
