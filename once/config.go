package once

import (
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/store"
)

// maxHeadBytes is the largest head that is written: three quarters of the
// store's limit. A batch that would exceed it is refused.
const maxHeadBytes = store.MaxValueBytes / 4 * 3

// Config holds the limits of a range writer.
type Config struct {
	// Ranges is the number of hash ranges, the same on every node.
	Ranges uint32
	// MinCommitInterval is the least time between two writes of a range's head. A
	// batch that writes nothing waits as long after the head was last read.
	MinCommitInterval time.Duration
	// Retention is how long a claim is kept, in time measured by writers of its
	// range. A repeat after that is a new call.
	Retention time.Duration
	// SealEntries and SealBytes say when a head is full: its entries move to a
	// segment with the next write.
	SealEntries int
	SealBytes   int
	// BatchEntries and BatchBytes bound what one write adds to a head.
	BatchEntries int
	BatchBytes   int
	// QueueLength bounds the requests that wait for a writer. More are refused.
	QueueLength int
	// StoreTimeout bounds one call to the store.
	StoreTimeout time.Duration
	// Backoff is the pause before the store is asked again while the outcome of
	// a write is undecided.
	Backoff time.Duration
	// LoadParallel is how many segments are read at a time.
	LoadParallel int
	// OutcomeReads is how many segments a second may be read for repeats of
	// finished calls. Repeats beyond it are answered Done without the outcome.
	OutcomeReads float64
	// Log gets a line for each change of a writer's condition, not for requests.
	Log logr.Logger
}

// DefaultConfig returns the limits for 16 ranges that together write at most 256
// heads a second.
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

// Check adds a finding for each value that is out of bounds. path is the JSON
// path of the configuration.
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

// NewBudget returns a limiter of store writes that several writers share.
func NewBudget(writesPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(writesPerSecond), max(1, int(writesPerSecond/10)))
}
