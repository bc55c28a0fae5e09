package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/store"
)

// configPause collects versions of the configuration that come together.
const configPause = 100 * time.Millisecond

// Config keeps the newest configuration in force. Versions only grow.
type Config struct {
	table  *atomic.Pointer[core.Table]
	key    string
	decode func(raw []byte) (*core.Table, error)
	log    logr.Logger

	follower follower

	mu  sync.Mutex
	raw []byte
}

// NewConfig returns a follower of the configuration under key, which puts
// tables into table. A version has to be in force within bound.
func NewConfig(table *atomic.Pointer[core.Table], key string, decode func([]byte) (*core.Table, error), bound time.Duration, log logr.Logger) *Config {
	return &Config{table: table, key: key, decode: decode, log: log, follower: follower{prefix: key, log: log, bound: bound, pause: fixed(configPause)}}
}

// Run follows the configuration until ctx ends.
func (c *Config) Run(ctx context.Context, st store.Store, onRead func()) {
	c.follower.store, c.follower.onRead = st, onRead
	c.follower.run(ctx, c)
}

// Following reports whether the store is within reach.
func (c *Config) Following() bool { return c.follower.following.Load() }

// AnswerAge returns how long ago the store last answered; false if it never did.
func (c *Config) AnswerAge() (time.Duration, bool) { return c.follower.answerAge() }

// Version returns the version in force; 0 if there is none.
func (c *Config) Version() int64 {
	if t := c.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Raw returns the configuration in force as it was read, and its version.
func (c *Config) Raw() ([]byte, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table.Load()
	if t == nil {
		return nil, 0
	}
	return c.raw, t.Version
}

// Offer puts a configuration in force if it is newer. source says where it
// comes from, for the log.
func (c *Config) Offer(raw []byte, source string) {
	t, err := c.decode(raw)
	if err != nil {
		c.log.Info("configuration not usable", "source", source, "cause", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.table.Load(); old != nil && old.Version >= t.Version {
		return
	}
	c.raw = raw
	c.table.Store(t)
	c.log.Info("configuration in force", "version", t.Version, "source", source)
}

func (c *Config) reset(entries []store.Entry, _ store.Revision, _ bool) {
	for _, e := range entries {
		if e.Key == c.key {
			c.Offer(e.Value, "store")
		}
	}
}

func (c *Config) apply(events []store.Event, _ store.Revision, _ bool) {
	for _, e := range events {
		if e.Entry.Key == c.key && !e.Deleted {
			c.Offer(e.Entry.Value, "store")
		}
	}
}
