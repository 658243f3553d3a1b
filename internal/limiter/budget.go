package limiter

const (
	// retryBudgetRatio is the number of retries allowed per started request of a service.
	retryBudgetRatio = 0.1
	// maxRetryCredit bounds the credit for retries. Credit accumulates while few attempts
	// fail; without the bound, a fault of all instances could cause a large burst of retries.
	maxRetryCredit = 10.0
	// maxImmediateRetries is the number of retries per request under the policy
	// Immediate3, a baseline that the evaluator compares with.
	maxImmediateRetries = 3
)

// retryBudget limits the retries of a service to a fraction of its started requests. It
// starts empty, so that retries never exceed retryBudgetRatio of the requests started.
type retryBudget struct{ credit float64 }

// addCredit adds the credit of one started request.
func (b *retryBudget) addCredit() { b.credit = min(maxRetryCredit, b.credit+retryBudgetRatio) }

// takeRetry reports whether a retry is within the budget, and spends the credit for it.
func (b *retryBudget) takeRetry() bool {
	// In floating point, ten additions of 0.1 give slightly less than 1.
	const tolerance = 1e-9
	if b.credit < 1-tolerance {
		return false
	}
	b.credit--
	return true
}
