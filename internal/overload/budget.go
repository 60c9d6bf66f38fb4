package overload

import "time"

// Budget bounds extra requests, such as retries and hedges, to a share of the requests that pay for
// them, so that they can't multiply an overload (see "Addressing Cascading Failures" in Site
// Reliability Engineering, and Finagle's RetryBudget). A small floor lets a node with little traffic
// send some at all. It is not safe for concurrent use.
type Budget struct {
	options BudgetOptions
	tokens  float64
	// last is when the floor was last paid in.
	last time.Time
}

// BudgetOptions configure a Budget.
type BudgetOptions struct {
	// Share is the number of extra requests that one request pays for.
	Share float64
	// Floor is the number of extra requests a second that need no payment.
	Floor float64
	// Initial is the number of extra requests that are free at first, Capacity the largest number
	// that is saved up.
	Initial, Capacity float64
}

// NewBudget returns a budget that holds its initial tokens.
func NewBudget(options BudgetOptions) *Budget {
	return &Budget{options: options, tokens: options.Initial}
}

// Earn pays in for one request.
func (b *Budget) Earn() { b.tokens = min(b.options.Capacity, b.tokens+b.options.Share) }

// Take takes one extra request out of the budget; false means that there is none left.
func (b *Budget) Take(now time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(b.options.Capacity, b.tokens+b.options.Floor*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
