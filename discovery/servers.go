package discovery

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/store"
)

// lapseGrace is how long after the store's return a registration that lapsed
// meanwhile still counts: living backend servers are back by then.
const lapseGrace = 2 * time.Second

// Servers keeps a registry equal to the registrations in the store.
type Servers struct {
	registry *backends.Registry
	prefix   string
	decode   func(id string, raw []byte) (backends.Info, error)
	log      logr.Logger

	// now is the boot clock.
	now func() time.Duration

	mu      sync.Mutex
	entries map[string]entry
	// graceUntil is the boot time until which registrations that vanish count
	// as lapsed and not as gone.
	graceUntil time.Duration
	read       bool
	revision   store.Revision
	// seen is the revision of the store up to which changes were read, here or at
	// a peer: an older entry that is not known was removed.
	seen     store.Revision
	follower follower
}

// entry is one registration as last read.
type entry struct {
	info     backends.Info
	raw      []byte
	revision store.Revision
	// lapsed is set while a registration that vanished during an outage of the
	// store still counts.
	lapsed bool
}

// NewServers returns a follower of the registrations under prefix. Changes within
// pause are read together; a server that leaves has to be known within bound.
func NewServers(r *backends.Registry, prefix string, decode func(string, []byte) (backends.Info, error), pause func() time.Duration, bound time.Duration, log logr.Logger) *Servers {
	return &Servers{registry: r, prefix: prefix, decode: decode, log: log, now: boottime.Now, entries: make(map[string]entry),
		follower: follower{prefix: prefix, log: log, bound: bound, pause: pause}}
}

// Run follows the registrations until ctx ends.
func (s *Servers) Run(ctx context.Context, st store.Store, onRead func()) {
	go s.expire(ctx)
	s.follower.store, s.follower.onRead = st, onRead
	s.follower.run(ctx, s)
}

// Following reports whether the store is within reach.
func (s *Servers) Following() bool { return s.follower.following.Load() }

// AnswerAge returns how long ago the store last answered; false if it never did.
func (s *Servers) AnswerAge() (time.Duration, bool) { return s.follower.answerAge() }

// Pause returns how long changes that follow one another are collected.
func (s *Servers) Pause() time.Duration { return s.follower.pause() }

// Revision returns the greatest revision of the registrations that were read.
func (s *Servers) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Entries returns the registrations as they were read.
func (s *Servers) Entries() []store.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]store.Entry, 0, len(s.entries))
	for key, e := range s.entries {
		list = append(list, store.Entry{Key: key, Value: e.raw, Revision: e.revision})
	}
	return list
}

// Offer takes the registrations that another node has read. What a node that
// reaches the store says replaces what is known while this node does not reach
// it; otherwise only newer entries are taken.
func (s *Servers) Offer(entries []store.Entry, following bool, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	replace := following && !s.Following()
	if !s.read || replace {
		s.log.V(1).Info("registrations taken", "source", source, "following", following, "count", len(entries))
	}
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.Key] = true
		old, known := s.entries[e.Key]
		if known && old.revision < e.Revision || !known && e.Revision > s.seen {
			s.take(e)
		}
	}
	for key := range s.entries {
		if replace && !seen[key] {
			s.vanish(key)
		}
	}
	s.read = true
	s.publish()
}

// Known reports whether the registrations have been read.
func (s *Servers) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read
}

func (s *Servers) reset(entries []store.Entry, at store.Revision, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = max(s.seen, at)
	s.noteReturn(away)
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.Key] = true
		s.take(e)
	}
	for key := range s.entries {
		if !seen[key] {
			s.vanish(key)
		}
	}
	s.read = true
	s.publish()
}

func (s *Servers) apply(events []store.Event, at store.Revision, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = max(s.seen, at)
	s.noteReturn(away)
	for _, e := range events {
		s.revision = max(s.revision, e.Entry.Revision)
		if e.Deleted {
			s.vanish(e.Entry.Key)
		} else {
			s.take(e.Entry)
		}
	}
	if len(events) > 0 {
		s.publish()
	}
}

func (s *Servers) noteReturn(away bool) {
	if away {
		s.graceUntil = s.now() + lapseGrace
	}
}

func (s *Servers) take(e store.Entry) {
	s.revision = max(s.revision, e.Revision)
	old, known := s.entries[e.Key]
	if known && old.revision == e.Revision && !old.lapsed {
		return
	}
	id := strings.TrimPrefix(e.Key, s.prefix)
	info, err := s.decode(id, e.Value)
	if err != nil {
		s.log.Info("registration not usable", "key", e.Key, "revision", e.Revision, "cause", err.Error())
		delete(s.entries, e.Key)
		return
	}
	if !known || old.info.State != info.State || old.info.Role != info.Role || old.info.Address != info.Address {
		s.log.Info("backend server known", "backend_server", id, "service", info.Service, "state", int(info.State),
			"role", int(info.Role), "failure_domain", info.FailureDomain, "reclaimable", info.Reclaimable, "revision", e.Revision)
	}
	s.entries[e.Key] = entry{info: info, raw: e.Value, revision: e.Revision}
}

// vanish takes a registration that is no longer in the store as gone, or as
// lapsed shortly after an outage.
func (s *Servers) vanish(key string) {
	e, known := s.entries[key]
	if !known {
		return
	}
	if s.now() < s.graceUntil && e.info.State == backends.Ready {
		if !e.lapsed {
			s.log.Info("registration lapsed during the outage", "key", key)
		}
		e.lapsed = true
		s.entries[key] = e
		return
	}
	s.log.Info("backend server gone", "key", key, "service", e.info.Service)
	delete(s.entries, key)
}

// expire removes registrations that have not come back in time, until ctx ends.
func (s *Servers) expire(ctx context.Context) {
	const every = 200 * time.Millisecond
	for ctx.Err() == nil {
		sleep(ctx, every)
		s.dropLapsed()
	}
}

// dropLapsed removes lapsed registrations whose time is over.
func (s *Servers) dropLapsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.graceUntil {
		return
	}
	removed := false
	for key, e := range s.entries {
		if e.lapsed {
			s.log.Info("backend server gone", "key", key, "service", e.info.Service)
			delete(s.entries, key)
			removed = true
		}
	}
	if removed {
		s.publish()
	}
}

func (s *Servers) publish() {
	infos := make([]backends.Info, 0, len(s.entries))
	for _, e := range s.entries {
		infos = append(infos, e.info)
	}
	s.registry.Replace(infos)
}
