package orchestrator

// Values of Note.Event. docs/OPERATIONS.md explains each.
const (
	EventJobAdded          = "JobAdded"
	EventJobStarted        = "JobStarted"
	EventJobFinished       = "JobFinished"
	EventCancelHeard       = "CancelHeard"
	EventCancelEarly       = "CancelEarly"
	EventOccurrenceFound   = "OccurrenceFound"
	EventStart             = "Start"
	EventStartRefused      = "StartRefused"
	EventStartDeferred     = "StartDeferred"
	EventStartOvertaken    = "StartOvertaken"
	EventStop              = "Stop"
	EventStopUnanswered    = "StopUnanswered"
	EventCopy              = "Copy"
	EventEnd               = "End"
	EventAdopt             = "Adopt"
	EventRunLost           = "RunLost"
	EventEndsPending       = "EndsPending"
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
	EventOtherProcess      = "StartReachedOtherProcess"
	EventEvacuation        = "Evacuation"
	EventSlowRun           = "SlowRun"
)

// Events returns all values of Note.Event.
func Events() []string {
	return []string{
		EventJobAdded, EventJobStarted, EventJobFinished, EventCancelHeard, EventCancelEarly, EventOccurrenceFound, EventStart, EventStartRefused, EventStartDeferred, EventStartOvertaken, EventStop, EventStopUnanswered, EventCopy, EventEnd, EventAdopt,
		EventRunLost, EventEndsPending, EventResend, EventCrash, EventWait, EventThrottle, EventAdvice, EventLoad, EventWorkerListed, EventWorkerReached, EventWorkerLost, EventWorkerQuarantined, EventOtherProcess, EventEvacuation, EventSlowRun,
	}
}

// EventKind returns the name of an event's type.
func EventKind(e Event) string {
	switch e.(type) {
	case Inherited:
		return "Inherited"
	case JobAccepted:
		return "JobAccepted"
	case CancelRequested:
		return "CancelRequested"
	case WorkersListed, WorkerListed, WorkerUnlisted, WorkersWatched:
		return "Workers"
	case EvacuationsListed:
		return "Evacuations"
	case PollAnswered:
		return "PollAnswered"
	case PollFailed:
		return "PollFailed"
	case StartAnswered:
		return "StartAnswered"
	case StopAnswered:
		return "StopAnswered"
	case ThrottleAnswered:
		return "ThrottleAnswered"
	case Confirmed, Written:
		return "Written"
	case AdviceAnswered:
		return "AdviceAnswered"
	case Tick:
		return "Tick"
	default:
		return "Other"
	}
}
