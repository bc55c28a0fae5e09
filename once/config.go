package once

import (
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/store"
)

// maxHeadBytes is the size of the largest head that is written, three quarters
// of the store's limit. A batch that would exceed it is refused.
const maxHeadBytes = store.MaxValueBytes / 4 * 3

// Config is the configuration of a range writer.
type Config struct {
	// Ranges is the number of hash ranges. It must be the same on all nodes.
	Ranges uint32
	// MinCommitInterval is the minimum time between two writes of a range's
	// head. A batch that writes nothing waits for the same time after the last
	// read of the head.
	MinCommitInterval time.Duration
	// Retention is how long a claim is kept, in time measured by the writers of
	// its range. After that, a repeated call counts as a new one.
	Retention time.Duration
	// SealEntries and SealBytes limit the size of a head. Once either is
	// reached, the next write moves the head's entries to a segment.
	SealEntries int
	SealBytes   int
	// BatchEntries and BatchBytes limit what one write adds to a head.
	BatchEntries int
	BatchBytes   int
	// QueueLength is the maximum number of requests queued for a writer.
	// Further requests are refused.
	QueueLength int
	// StoreTimeout is the timeout of one store call.
	StoreTimeout time.Duration
	// Backoff is the pause before the store is accessed again while it is not
	// known whether a write took effect.
	Backoff time.Duration
	// LoadParallel is the number of segments that are read in parallel.
	LoadParallel int
	// OutcomeReads is the maximum number of segments read per second to serve
	// repeats of finished calls. Further repeats get Done without the outcome.
	OutcomeReads float64
	// Era returns the newest era of the store that was seen; nil if the store states none.
	Era func() store.Era
	// Log receives one message each time the range starts or stops refusing
	// requests, or the reason changes. Single requests are not logged.
	Log logr.Logger
}

// DefaultConfig returns the configuration for 16 ranges that together write at
// most 256 heads per second.
func DefaultConfig() Config {
	return Config{
		Ranges:            16,
		MinCommitInterval: 62500 * time.Microsecond,
		Retention:         24 * time.Hour,
		SealEntries:       256,
		SealBytes:         256 << 10,
		BatchEntries:      256,
		BatchBytes:        256 << 10,
		QueueLength:       1024,
		StoreTimeout:      2 * time.Second,
		Backoff:           50 * time.Millisecond,
		LoadParallel:      8,
		OutcomeReads:      20,
	}
}

// Check adds a finding to list for each value that is out of bounds. path is
// the JSON path of the configuration.
func (c *Config) Check(list *finding.List, path string) {
	positive := func(name string, ok bool) {
		if !ok {
			list.Addf(path+"."+name, "must be greater than 0")
		}
	}
	positive("ranges", c.Ranges > 0)
	positive("retention", c.Retention > 0)
	positive("seal_entries", c.SealEntries > 0)
	positive("seal_bytes", c.SealBytes > 0)
	positive("batch_entries", c.BatchEntries > 0)
	positive("batch_bytes", c.BatchBytes > 0)
	positive("queue_length", c.QueueLength > 0)
	positive("store_timeout", c.StoreTimeout > 0)
	positive("backoff", c.Backoff > 0)
	positive("load_parallel", c.LoadParallel > 0)
	positive("outcome_reads", c.OutcomeReads > 0)
	if c.MinCommitInterval < 0 {
		list.Addf(path+".min_commit_interval", "must not be negative")
	}
	if c.SealEntries+c.BatchEntries > 1<<15 {
		list.Addf(path+".seal_entries", "seal_entries and batch_entries together must not exceed %d", 1<<15)
	}
	if c.SealBytes+c.BatchBytes > store.MaxValueBytes/2 {
		list.Addf(path+".seal_bytes", "seal_bytes and batch_bytes together must not exceed %d", store.MaxValueBytes/2)
	}
}

// NewWriteLimiter returns a rate limiter for store writes that several writers share.
func NewWriteLimiter(writesPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(writesPerSecond), max(1, int(writesPerSecond/10)))
}
