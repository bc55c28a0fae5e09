package configsync

import "time"

// SetRule replaces the freshness rule, so that tests can compare it with others.
func (y *Sync) SetRule(rule func(Evidence, time.Duration) Verdict) { y.decide = rule }
