package discovery

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/store"
)

// registrationGracePeriod is how long a registration that lapsed in a store outage
// stays valid after the store recovers: running backend servers have registered again
// by then.
const registrationGracePeriod = 2 * time.Second

// Servers keeps a registry in sync with the registrations in the store.
type Servers struct {
	registry *backends.Registry
	prefix   string
	decode   func(id string, raw []byte) (backends.Registration, error)
	log      logr.Logger

	// now returns the time on the boot clock.
	now func() time.Duration

	mu      sync.Mutex
	entries map[string]entry
	// graceUntil is the time on the boot clock until which missing registrations count
	// as lapsed instead of removed.
	graceUntil time.Duration
	loaded     bool
	revision   store.Revision
	// observedRevision is the store revision up to which this node has read changes:
	// an entry of a peer that is older and not in entries was removed.
	observedRevision store.Revision
	removed          removedServers
	follower         follower
	// RetainedOverRestores counts the registrations that were kept as they were because a
	// restored store listed them from its copy.
	RetainedOverRestores atomic.Int64
}

// entry is one registration as it was last read.
type entry struct {
	registration backends.Registration
	raw          []byte
	revision     store.Revision
	// lapsed is true for a registration that was lost in a store outage and is in
	// its grace period.
	lapsed bool
}

// NewServers returns a follower of the registrations under prefix. Changes are batched
// over the time that batchDelay returns; a change to draining must be read within bound.
func NewServers(r *backends.Registry, prefix string, decode func(string, []byte) (backends.Registration, error), batchDelay func() time.Duration, bound time.Duration, log logr.Logger) *Servers {
	return &Servers{registry: r, prefix: prefix, decode: decode, log: log, now: boottime.Now, entries: make(map[string]entry), removed: make(removedServers),
		follower: follower{prefix: prefix, log: log, bound: bound, batchDelay: batchDelay}}
}

// Run follows the registrations until ctx ends.
func (s *Servers) Run(ctx context.Context, st store.Store, onResponse func()) {
	go s.removeLapsedPeriodically(ctx)
	s.follower.store, s.follower.onResponse = st, onResponse
	s.follower.run(ctx, s)
}

// Following reports whether the last call to the store succeeded.
func (s *Servers) Following() bool { return s.follower.following.Load() }

// ResponseAge returns the time since the store last answered; false if it never did.
func (s *Servers) ResponseAge() (time.Duration, bool) { return s.follower.responseAge() }

// BatchDelay returns the time over which changes are batched.
func (s *Servers) BatchDelay() time.Duration { return s.follower.batchDelay() }

// Revision returns the greatest revision among the registrations read so far.
func (s *Servers) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Entries returns the encoded registrations.
func (s *Servers) Entries() []store.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]store.Entry, 0, len(s.entries))
	for key, e := range s.entries {
		list = append(list, store.Entry{Key: key, Value: e.raw, Revision: e.revision})
	}
	return list
}

// Merge adds the registrations that another node has read, as far as they are newer. If
// that node can read the store and this one can't, registrations missing from entries are
// removed too. The source is only logged.
func (s *Servers) Merge(entries []store.Entry, following bool, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := maxRevision(entries)
	if len(entries) == 0 || at.Era() < s.observedRevision.Era() {
		// A peer that has not learned of the present era must not bring back what is gone.
		return
	}
	s.enterEra(entries, at)
	replace := following && !s.Following()
	if !s.loaded || replace {
		s.log.V(1).Info("registrations received from peer", "source", source, "following", following, "count", len(entries))
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		old, known := s.entries[e.Key]
		switch {
		case known && old.revision < e.Revision || !known && e.Revision > s.observedRevision:
			s.upsert(e)
		case known && old.revision == e.Revision && !bytes.Equal(old.raw, e.Value):
			s.mergeSameRevision(e)
		}
	}
	for key := range s.entries {
		if replace && !listed[key] {
			s.handleMissing(key, at)
		}
	}
	s.loaded = true
	s.publish()
}

// Loaded reports whether the registrations have been read.
func (s *Servers) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

func (s *Servers) reset(entries []store.Entry, at store.Revision, afterOutage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := s.enterEra(entries, at)
	s.observedRevision = max(s.observedRevision, at)
	s.startGracePeriod(afterOutage || restored)
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		s.upsert(e)
	}
	for key := range s.entries {
		if !listed[key] {
			s.handleMissing(key, at)
		}
	}
	s.loaded = true
	s.publish()
}

func (s *Servers) apply(events []store.Event, at store.Revision, afterOutage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observedRevision = max(s.observedRevision, at)
	s.startGracePeriod(afterOutage)
	for _, e := range events {
		s.revision = max(s.revision, e.Entry.Revision)
		if e.Deleted {
			s.handleMissing(e.Entry.Key, e.Entry.Revision)
		} else {
			s.upsert(e.Entry)
		}
	}
	if len(events) > 0 {
		s.publish()
	}
}

// startGracePeriod starts the grace period for lapsed registrations after an outage. The
// caller holds mu.
func (s *Servers) startGracePeriod(afterOutage bool) {
	if afterOutage {
		s.graceUntil = s.now() + registrationGracePeriod
	}
}

// enterEra takes over the entries of the first list of a new era: the store was restored from an
// earlier copy. A listed registration may be older than the one read in the era before, so that
// one stays until the backend server writes again, which it does within its heartbeat interval.
// It reports whether the list is of a new era. The caller holds mu.
func (s *Servers) enterEra(entries []store.Entry, at store.Revision) bool {
	if !s.loaded || at.Era() <= s.observedRevision.Era() {
		return false
	}
	retained := 0
	for _, e := range entries {
		s.removed.enterEra(e)
		old, known := s.entries[e.Key]
		if !known || s.listsDraining(e) {
			continue
		}
		old.revision, old.lapsed = e.Revision, false
		s.entries[e.Key] = old
		retained++
	}
	s.observedRevision = at.EraStart()
	s.RetainedOverRestores.Add(int64(retained))
	s.log.Info("registrations of a restored store", "era", uint64(at.Era()), "listed", len(entries), "retained", retained, "known", len(s.entries))
	return true
}

// mergeSameRevision takes over that a backend server drains from a peer that has kept this from the
// era before, while this node knows only the copy. The caller holds mu.
func (s *Servers) mergeSameRevision(e store.Entry) {
	if s.listsDraining(e) {
		delete(s.entries, e.Key)
		s.upsert(e)
	}
}

// listsDraining reports whether an entry states that the backend server drains.
func (s *Servers) listsDraining(e store.Entry) bool {
	registration, err := s.decode(strings.TrimPrefix(e.Key, s.prefix), e.Value)
	return err == nil && registration.State == backends.Draining
}

// maxRevision returns the greatest revision of the entries.
func maxRevision(entries []store.Entry) store.Revision {
	var greatest store.Revision
	for _, e := range entries {
		greatest = max(greatest, e.Revision)
	}
	return greatest
}

// upsert stores a registration if it is new or changed. A registration that can't be
// decoded is removed. The caller holds mu.
func (s *Servers) upsert(e store.Entry) {
	s.revision = max(s.revision, e.Revision)
	old, known := s.entries[e.Key]
	if known && old.revision == e.Revision && !old.lapsed || s.removed.isRemoved(e) {
		return
	}
	delete(s.removed, e.Key)
	id := strings.TrimPrefix(e.Key, s.prefix)
	registration, err := s.decode(id, e.Value)
	if err != nil {
		s.log.Info("registration not usable", "key", e.Key, "revision", e.Revision, "cause", err.Error())
		delete(s.entries, e.Key)
		return
	}
	if !known || old.registration.State != registration.State || old.registration.Role != registration.Role || old.registration.Address != registration.Address {
		s.log.Info("backend server known", "backend_server", id, "service", registration.Service, "state", int(registration.State),
			"role", int(registration.Role), "failure_domain", registration.FailureDomain, "reclaimable", registration.Reclaimable, "revision", e.Revision)
	}
	s.entries[e.Key] = entry{registration: registration, raw: e.Value, revision: e.Revision}
}

// handleMissing removes a registration that is no longer in the store at a revision, or marks
// it as lapsed if the store has just recovered from an outage.
func (s *Servers) handleMissing(key string, at store.Revision) {
	e, known := s.entries[key]
	if !known {
		return
	}
	if s.now() < s.graceUntil && e.registration.State == backends.Ready {
		if !e.lapsed {
			s.log.Info("registration lapsed during the outage", "key", key)
		}
		e.lapsed = true
		s.entries[key] = e
		return
	}
	s.remove(key, e, at)
}

// remove removes a registration that is not in the store at a revision. The caller holds mu.
func (s *Servers) remove(key string, e entry, at store.Revision) {
	s.log.Info("backend server gone", "key", key, "service", e.registration.Service)
	delete(s.entries, key)
	s.removed.add(key, at, s.now())
}

// removeLapsedPeriodically runs removeLapsed at a fixed interval until ctx ends.
func (s *Servers) removeLapsedPeriodically(ctx context.Context) {
	const interval = 200 * time.Millisecond
	for ctx.Err() == nil {
		sleep(ctx, interval)
		s.removeLapsed()
	}
}

// removeLapsed removes lapsed registrations after the grace period.
func (s *Servers) removeLapsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.graceUntil {
		return
	}
	changed := false
	for key, e := range s.entries {
		if e.lapsed {
			s.remove(key, e, s.observedRevision)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

// publish passes all current registrations to the registry. The caller holds mu.
func (s *Servers) publish() {
	registrations := make([]backends.Registration, 0, len(s.entries))
	for _, e := range s.entries {
		registrations = append(registrations, e.registration)
	}
	s.registry.Replace(registrations)
}
