package chooser

// Bounds of the retry budget.
const (
	// budgetBurst is the number of retries that a full budget allows at once.
	budgetBurst = 64
	// retriesPerThousand is the number of retries that a thousand requests earn.
	retriesPerThousand = 100
	// retryPrice is the price of one retry in the budget's unit.
	retryPrice = 1000
)

// Budget bounds retries to a fraction of requests, so that retries do not
// multiply a flood. It is immutable.
type Budget struct {
	// left is what is left, in thousandths of a retry.
	balance int
	// burst is the number of retries that a full budget allows at once.
	burst int
	// earned is the number of retries that a thousand requests earn.
	retriesPerThousand int
}

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithBurst bounds the retries that a full budget allows at once to n.
func WithBurst(n int) BudgetOption {
	return func(b *Budget) { b.burst = n }
}

// WithEarned sets the number of retries that a thousand requests earn.
func WithRetriesPerThousand(n int) BudgetOption {
	return func(b *Budget) { b.retriesPerThousand = n }
}

// NewBudget returns a full budget.
func NewBudget(opts ...BudgetOption) Budget {
	b := Budget{burst: budgetBurst, retriesPerThousand: retriesPerThousand}
	for _, opt := range opts {
		opt(&b)
	}
	b.balance = b.burst * retryPrice
	return b
}

// Allows reports whether the budget has a retry left.
func (b Budget) Allows() bool {
	return b.balance >= retryPrice
}

// WithBurst returns a budget that allows n retries at once when it is full, and now
// no more than it did.
func (b Budget) WithBurst(n int) Budget {
	b.burst = n
	b.balance = min(b.balance, n*retryPrice)
	return b
}

// WithRequest returns a budget that has earned the share of one more request.
func (b Budget) WithRequest() Budget {
	b.balance = min(b.balance+b.retriesPerThousand, b.burst*retryPrice)
	return b
}

// WithRetry returns a budget with one retry less. It is unchanged if there is
// none left.
func (b Budget) WithRetry() Budget {
	if b.Allows() {
		b.balance -= retryPrice
	}
	return b
}
