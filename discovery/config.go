package discovery

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/store"
)

// configBatchDelay is the delay between a response and the next watch, so that versions
// written in quick succession arrive in one response.
const configBatchDelay = 100 * time.Millisecond

// Config follows the configuration in the store and publishes the newest version.
// It never replaces a version by an older one. A store that was restored from a copy may have an
// older version than the other nodes. Hold keeps back the first version read from the store until
// they have been asked.
type Config struct {
	table  *atomic.Pointer[core.Table]
	key    string
	decode func(raw []byte) (*core.Table, error)
	log    logr.Logger

	follower follower

	mu  sync.Mutex
	raw []byte
	// era is the newest era in which the store has shown the version in force; 0 if only peers
	// have.
	era store.Era
	// held is true while versions read from the store may not be put in force. The last one
	// read meanwhile is in pending, and pendingRead is closed when the first one is read.
	held        bool
	pending     *store.Entry
	pendingRead chan struct{}
}

// NewConfig returns a follower of the configuration stored under key. It stores the
// decoded tables in table. A version must be in force within bound after the store
// acknowledged it.
func NewConfig(table *atomic.Pointer[core.Table], key string, decode func([]byte) (*core.Table, error), bound time.Duration, log logr.Logger) *Config {
	return &Config{table: table, key: key, decode: decode, log: log, follower: follower{prefix: key, log: log, bound: bound, batchDelay: constantDelay(configBatchDelay)}}
}

// Run follows the configuration until ctx ends.
func (c *Config) Run(ctx context.Context, st store.Store, onResponse func()) {
	c.follower.store, c.follower.onResponse = st, onResponse
	c.follower.run(ctx, c)
}

// Following reports whether the last call to the store succeeded.
func (c *Config) Following() bool { return c.follower.following.Load() }

// ResponseAge returns the time since the store last answered; false if it never did.
func (c *Config) ResponseAge() (time.Duration, bool) { return c.follower.responseAge() }

// Version returns the version in force; 0 if there is none.
func (c *Config) Version() int64 {
	if t := c.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Raw returns the encoded configuration in force and its version; nil and 0 if
// there is none.
func (c *Config) Raw() ([]byte, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table.Load()
	if t == nil {
		return nil, 0
	}
	return c.raw, t.Version
}

// ApplyIfNewer puts an encoded configuration of another node in force if it is newer than the
// current one. The source is only logged. A configuration that can't be decoded is logged and
// ignored.
func (c *Config) ApplyIfNewer(raw []byte, source string) {
	t := c.decodeFrom(raw, source)
	c.mu.Lock()
	defer c.mu.Unlock()
	if t != nil && t.Version > c.Version() {
		c.replaceLocked(t, raw, 0, source)
	}
}

// Hold keeps versions that are read from the store from being put in force until Release. It
// returns a channel that is closed when the first one has been read.
func (c *Config) Hold() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held, c.pendingRead = true, make(chan struct{})
	return c.pendingRead
}

// Release ends Hold. It puts the last version read meanwhile in force if it is newer than those
// of other nodes.
func (c *Config) Release() {
	c.mu.Lock()
	pending := c.pending
	c.held, c.pending = false, nil
	c.mu.Unlock()
	if pending != nil {
		c.applyFromStore(*pending)
	}
}

// applyFromStore puts a configuration read from the store in force if it is newer than the current
// one, or is another one with the same version in a later era: the store has lost the other one
// before it acknowledged it.
func (c *Config) applyFromStore(e store.Entry) {
	const source = "store"
	t := c.decodeFrom(e.Value, source)
	c.mu.Lock()
	defer c.mu.Unlock()
	if t == nil {
		return
	}
	if c.held {
		if c.pending == nil {
			close(c.pendingRead)
		}
		c.pending = &e
		return
	}
	era, version := e.Revision.Era(), c.Version()
	switch {
	case t.Version > version:
		c.replaceLocked(t, e.Value, era, source)
	case t.Version < version:
		c.log.Info("older configuration in the store ignored", "version", t.Version, "in_force", version, "era", uint64(era))
	case era > c.era:
		if !bytes.Equal(c.raw, e.Value) {
			c.replaceLocked(t, e.Value, era, source)
		}
		c.era = era
	}
}

// decodeFrom decodes a configuration. It returns nil after an error, which it logs.
func (c *Config) decodeFrom(raw []byte, source string) *core.Table {
	t, err := c.decode(raw)
	if err != nil {
		c.log.Info("configuration rejected", "source", source, "cause", err.Error())
		return nil
	}
	return t
}

// replaceLocked puts a configuration in force. The caller holds mu.
func (c *Config) replaceLocked(t *core.Table, raw []byte, era store.Era, source string) {
	c.raw, c.era = raw, era
	c.table.Store(t)
	c.log.Info("configuration in force", "version", t.Version, "source", source, "era", uint64(era))
}

func (c *Config) reset(entries []store.Entry, _ store.Revision, _ bool) {
	for _, e := range entries {
		if e.Key == c.key {
			c.applyFromStore(e)
		}
	}
}

func (c *Config) apply(events []store.Event, _ store.Revision, _ bool) {
	for _, e := range events {
		if e.Entry.Key == c.key && !e.Deleted {
			c.applyFromStore(e.Entry)
		}
	}
}
