package chooser

// Defaults of the retry budget.
const (
	// budgetBurst is the number of retries in a row that a full budget allows.
	budgetBurst = 64
	// retriesPerThousand is the number of retries that a thousand requests earn.
	retriesPerThousand = 100
	// retryPrice is the price of one retry in thousandths of a retry.
	retryPrice = 1000
)

// Budget limits retries to a fraction of the requests, so that retries do not
// multiply an overload. It is immutable.
type Budget struct {
	// balance is the unused budget, in thousandths of a retry.
	balance int
	// burst is the number of retries in a row that a full budget allows.
	burst int
	// retriesPerThousand is the number of retries that a thousand requests earn.
	retriesPerThousand int
}

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithBurst sets the number of retries in a row that a full budget allows.
func WithBurst(n int) BudgetOption {
	return func(b *Budget) { b.burst = n }
}

// WithRetriesPerThousand sets the number of retries that a thousand requests earn.
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

// WithBurst returns a budget that allows n retries in a row when it is full. The
// balance does not grow.
func (b Budget) WithBurst(n int) Budget {
	b.burst = n
	b.balance = min(b.balance, n*retryPrice)
	return b
}

// WithRequest returns a budget with the earnings of one more request.
func (b Budget) WithRequest() Budget {
	b.balance = min(b.balance+b.retriesPerThousand, b.burst*retryPrice)
	return b
}

// WithRetry returns a budget with one retry less. It is unchanged if there is none
// left.
func (b Budget) WithRetry() Budget {
	if b.Allows() {
		b.balance -= retryPrice
	}
	return b
}
