package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/figweir/figweir/store"
)

// ErrMirrorStale means that a node has no copy of a prefix, or can't be sure that its
// copy is current.
var ErrMirrorStale = errors.New("the mirror is not current")

const (
	// maxMirrorHistory and maxMirrorHistoryBytes limit the changes that a mirror keeps
	// for watches. Nodes that are further behind list again.
	maxMirrorHistory      = 1024
	maxMirrorHistoryBytes = 1 << 20
)

// mirror is a copy of the entries under one prefix of the store. A node that reads the
// prefix from the store keeps it up to date and answers the lists and watches of other
// nodes from it. Its methods may be called from any goroutine.
type mirror struct {
	mu sync.Mutex
	// valid is false until the prefix has been listed, and after a call to the store
	// has failed.
	valid    bool
	entries  map[string]store.Entry
	revision store.Revision
	// history holds the changes after historyStart, in order, with values of
	// historyBytes in total.
	history      []store.Event
	historyStart store.Revision
	historyBytes int
	// changed is closed at the next change of any field above.
	changed chan struct{}
}

func newMirror() *mirror { return &mirror{changed: make(chan struct{})} }

// notify wakes the waiting watches. The caller holds mu.
func (m *mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// reset replaces the entries with a list that the store had at revision at.
func (m *mirror) reset(entries []store.Entry, at store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = make(map[string]store.Entry, len(entries))
	for _, e := range entries {
		m.entries[e.Key] = e
	}
	m.valid, m.revision = true, at
	m.history, m.historyStart, m.historyBytes = nil, at, 0
	m.notify()
}

// apply adds the changes after revision after, up to revision at. A mirror that doesn't
// hold all earlier changes becomes invalid.
func (m *mirror) apply(events []store.Event, after, at store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.valid || m.revision != after {
		m.valid = false
		m.notify()
		return
	}
	for _, e := range events {
		if e.Deleted {
			delete(m.entries, e.Entry.Key)
		} else {
			m.entries[e.Entry.Key] = e.Entry
		}
		m.historyBytes += len(e.Entry.Value)
	}
	m.revision = at
	m.history = append(m.history, events...)
	m.trimHistory()
	m.notify()
}

// trimHistory discards the oldest changes beyond the limits. The caller holds mu.
func (m *mirror) trimHistory() {
	discarded := 0
	for len(m.history)-discarded > maxMirrorHistory || m.historyBytes > maxMirrorHistoryBytes {
		m.historyStart = m.history[discarded].Entry.Revision
		m.historyBytes -= len(m.history[discarded].Entry.Value)
		discarded++
	}
	if discarded > 0 {
		m.history = append([]store.Event(nil), m.history[discarded:]...)
	}
}

// isValid reports whether the copy can be used.
func (m *mirror) isValid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.valid
}

// invalidate marks the copy as unusable until the next reset.
func (m *mirror) invalidate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.valid {
		m.valid = false
		m.notify()
	}
}

// list returns all entries. It returns ErrMirrorStale if the copy is invalid or older
// than minRevision.
func (m *mirror) list(minRevision store.Revision) ([]store.Entry, store.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.valid || m.revision < minRevision {
		return nil, 0, ErrMirrorStale
	}
	entries := make([]store.Entry, 0, len(m.entries))
	for _, e := range m.entries {
		entries = append(entries, e)
	}
	return entries, m.revision, nil
}

// watch waits until there is a change after the given revision, until wait has passed or
// until ctx ends. It returns ErrMirrorStale if the copy is or becomes invalid, and
// store.ErrCompacted if changes after the revision have been discarded.
func (m *mirror) watch(ctx context.Context, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		events, at, changed, err := m.changesAfter(after)
		if err != nil || len(events) > 0 {
			return events, at, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// changesAfter returns the changes after a revision, the revision to continue from, and a
// channel that is closed at the next change.
func (m *mirror) changesAfter(after store.Revision) ([]store.Event, store.Revision, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.valid {
		return nil, 0, nil, ErrMirrorStale
	}
	if after < m.historyStart {
		return nil, 0, nil, store.ErrCompacted
	}
	first := len(m.history)
	for first > 0 && m.history[first-1].Entry.Revision > after {
		first--
	}
	// The caller may have read further than this copy.
	return append([]store.Event(nil), m.history[first:]...), max(after, m.revision), m.changed, nil
}
