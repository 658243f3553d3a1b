package limiter

const (
	// retryShare is the part of a service's fresh traffic that may be retried.
	retryShare = 0.1
	// maxRetryCredit bounds the retries saved up in quiet times, so that they cannot
	// add to the load when a fault hits everything at once.
	maxRetryCredit = 10.0
	// immediateRetries is the number of retries of the baseline policy Immediate3.
	immediateRetries = 3
)

// budget counts the retries that a service's fresh traffic has earned. It starts empty,
// so that retries never exceed retryShare of the requests started.
type budget struct{ credit float64 }

func (b *budget) fresh() { b.credit = min(maxRetryCredit, b.credit+retryShare) }

func (b *budget) take() bool {
	// Ten additions of 0.1 give slightly less than 1.
	const tolerance = 1e-9
	if b.credit < 1-tolerance {
		return false
	}
	b.credit--
	return true
}
