package admission

// Limits of a retry budget, in retries.
const (
	// initialRetries is the balance of a new budget, which a service can spend before its first success.
	initialRetries = 3
	// maxRetries is the largest balance.
	maxRetries = 100
)

// failingPercent is the percentage of failed recent attempts from which the service as a whole counts as failing.
const failingPercent = 50

// RetryBudget limits the retries of a service to a share of its successes. It allows none while the service as a whole
// fails.
type RetryBudget struct {
	percent int
	// tokens is the balance in hundredths of a retry.
	tokens int
	// failureShare is the exponentially smoothed share of failed attempts, from 0 to 1.
	failureShare float64
}

// NewRetryBudget returns a budget that allows percent retries for 100 successes.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, tokens: initialRetries * 100}
}

// SetPercent changes the number of retries for 100 successes.
func (b *RetryBudget) SetPercent(percent int) { b.percent = percent }

// Record records the result of an attempt.
func (b *RetryBudget) Record(succeeded bool) {
	failed := 0.0
	if !succeeded {
		failed = 1
	} else {
		b.tokens = min(b.tokens+b.percent, maxRetries*100)
	}
	b.failureShare += 0.05 * (failed - b.failureShare)
}

// Take takes one retry from the budget. It returns false if the retry is not allowed.
func (b *RetryBudget) Take() bool {
	if b.tokens < 100 || b.failureShare*100 >= failingPercent {
		return false
	}
	b.tokens -= 100
	return true
}
