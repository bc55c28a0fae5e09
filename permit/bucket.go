package permit

import "time"

// Bucket is a token bucket. The zero value is empty; it fills from the first call of Fill.
type Bucket struct {
	Tokens float64
	// UpdatedAt is the time up to which the bucket is filled.
	UpdatedAt time.Time
}

// Fill adds the tokens for the time since the last call, up to the capacity.
func (b *Bucket) Fill(now time.Time, perSecond, capacity float64) {
	if !b.UpdatedAt.IsZero() && now.After(b.UpdatedAt) {
		b.Tokens += perSecond * now.Sub(b.UpdatedAt).Seconds()
	}
	b.Tokens = min(b.Tokens, capacity)
	if now.After(b.UpdatedAt) {
		b.UpdatedAt = now
	}
}

// Debit removes tokens. The debt is at most maxDebt.
func (b *Bucket) Debit(tokens, maxDebt float64) {
	b.Tokens = max(b.Tokens-tokens, -maxDebt)
}

// maxWait bounds waits: the quotient of a small rate does not fit into a Duration.
const maxWait = time.Hour

// Wait returns the time until the bucket holds the given number of tokens, at most an hour.
func (b *Bucket) Wait(tokens, perSecond float64) time.Duration {
	missing := max(0, tokens-b.Tokens)
	if missing > perSecond*maxWait.Seconds() {
		return maxWait
	}
	if missing == 0 {
		return 0
	}
	return time.Duration(missing / perSecond * float64(time.Second))
}
