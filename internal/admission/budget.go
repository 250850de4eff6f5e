package admission

// Limits of a retry budget in retries.
const (
	// initialRetries is what a service may spend before its first success.
	initialRetries = 3
	// maxRetries bounds what a service can save.
	maxRetries = 100
)

// Failing is the share of recent attempts in percent from which the service as a whole counts as failing.
const failingPercent = 50

// RetryBudget allows retries as a share of successes. It allows none while the service as a whole fails.
type RetryBudget struct {
	percent int
	// tokens is in hundredths of a retry.
	tokens int
	// failureShare is the smoothed share of failed attempts, between 0 and 1.
	failureShare float64
}

// NewRetryBudget returns a budget of percent retries for 100 successes.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, tokens: initialRetries * 100}
}

// SetPercent changes the share.
func (b *RetryBudget) SetPercent(percent int) { b.percent = percent }

// Record takes the result of an attempt.
func (b *RetryBudget) Record(succeeded bool) {
	failed := 0.0
	if !succeeded {
		failed = 1
	} else {
		b.tokens = min(b.tokens+b.percent, maxRetries*100)
	}
	b.failureShare += 0.05 * (failed - b.failureShare)
}

// Take allows one retry.
func (b *RetryBudget) Take() bool {
	if b.tokens < 100 || b.failureShare*100 >= failingPercent {
		return false
	}
	b.tokens -= 100
	return true
}
