// Package archive keeps what nodes know of prompt parts that crash backend servers in the platform's
// store, so that it outlives all nodes, and counts the trials of all nodes there.
//
// A suspicion is an entry without a lease: it is written by a node that has evidence for it, changed
// with its trials and its parts, and deleted when it ends. A loss that puts a part in doubt together
// with another crash is an entry under a lease, written by the node that noticed it. Nodes read all
// entries when they start, and what changes later from each other.
package archive

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/quarantine"
	"github.com/figweir/figweir/store"
)

const (
	// callTimeout is the timeout of a call to the store.
	callTimeout = time.Second
	// permitTimeout bounds the time for which a request waits for the permission of its trial.
	permitTimeout = 500 * time.Millisecond
	// retryDelay is the time after which failed writes are made again.
	retryDelay = time.Second
	// loadRetryDelay is the same for lists: requests wait for the first one.
	loadRetryDelay = 100 * time.Millisecond
	// leaseReuse is how long evidence is written under the same lease.
	leaseReuse = 30 * time.Second
)

// Archive connects a tracker and the store. Its fields must not be changed after the first use.
type Archive struct {
	Tracker *quarantine.Tracker
	Store   store.Store
	// TrueTime converts a time of this process to true time.
	TrueTime func(time.Time) time.Time
	Log      logr.Logger

	// loaded is set once all entries were read.
	loaded atomic.Bool
	// writing is set while a goroutine writes. The fields below belong to it then: when the next
	// one may write, and the lease for evidence.
	writing    atomic.Bool
	retryAfter time.Time
	lease      store.LeaseID
	leasedAt   time.Time
}

func (a *Archive) timeline() timeline {
	now := time.Now()
	return timeline{now: now, trueNow: a.TrueTime(now)}
}

// Load reads all entries until that has succeeded or ctx ends.
func (a *Archive) Load(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.load(ctx)
		if err == nil {
			a.loaded.Store(true)
			return
		}
		a.Log.Info("cannot read the quarantine", "cause", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(loadRetryDelay):
		}
	}
}

// load reads all entries once.
func (a *Archive) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, _, err := a.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	l := a.timeline()
	var suspicions []quarantine.Suspicion
	var evidence []quarantine.Evidence
	for _, entry := range entries {
		s, e, err := l.decode(entry)
		switch {
		case err != nil:
			a.Log.Info("quarantine entry ignored", "key", entry.Key, "cause", err.Error())
		case s != nil:
			suspicions = append(suspicions, *s)
		case e != nil:
			evidence = append(evidence, *e)
		}
	}
	a.Tracker.Restore(l.now, suspicions, evidence)
	a.Log.Info("quarantine read", "suspicions", len(suspicions), "evidence", len(evidence))
	return nil
}

// errForeignKey means that an entry stands under another key than nodes write it to.
var errForeignKey = errors.New("the key does not belong to the prompt parts")

// decode decodes an entry; both results are nil if it is of no known kind.
func (l timeline) decode(entry store.Entry) (*quarantine.Suspicion, *quarantine.Evidence, error) {
	switch {
	case strings.HasPrefix(entry.Key, suspicionPrefix):
		s, err := l.decodeSuspicion(entry.Value)
		if err == nil && entry.Key != suspicionKey(s.Parts) {
			err = errForeignKey
		}
		return &s, nil, err
	case strings.HasPrefix(entry.Key, evidencePrefix):
		e, err := l.decodeEvidence(entry.Value)
		return nil, &e, err
	default:
		return nil, nil, nil
	}
}

// StoreRestored records that the store came back from an earlier copy: entries may be missing, or be
// there again. It returns at once.
func (a *Archive) StoreRestored(ctx context.Context) {
	if !a.loaded.Load() {
		return
	}
	a.Tracker.Forgotten(time.Now())
	go a.Load(ctx)
}

// Step starts the writes that are due, in the background. Only one goroutine may call it. isBackup is set
// on the few nodes that write what the others have not.
func (a *Archive) Step(now time.Time, isBackup bool) {
	if a.writing.Load() || now.Before(a.retryAfter) {
		return
	}
	work := a.Tracker.DueStoreWork(now, isBackup)
	if work.Empty() {
		return
	}
	a.writing.Store(true)
	go func() {
		if err := a.do(work); err != nil {
			a.Log.Info("quarantine not stored", "cause", err.Error())
			a.retryAfter = time.Now().Add(retryDelay)
		}
		a.writing.Store(false)
	}()
}

// do makes the writes. It returns the errors of all.
func (a *Archive) do(w quarantine.StoreWork) error {
	ctx := context.Background()
	var failures []error
	for i := range w.Suspicions {
		failures = append(failures, a.write(ctx, &w.Suspicions[i]))
	}
	for _, parts := range w.Removed {
		failures = append(failures, a.delete(ctx, parts))
	}
	for i := range w.Evidence {
		failures = append(failures, a.writeEvidence(ctx, &w.Evidence[i]))
	}
	return errors.Join(failures...)
}

// write writes a suspicion, with the trials that the store knows of if these are more.
func (a *Archive) write(ctx context.Context, s *quarantine.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := suspicionKey(s.Parts)
	l := a.timeline()
	entry, err := a.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if known, decodeErr := l.decodeSuspicion(entry.Value); err == nil && decodeErr == nil {
		a.Tracker.Restore(l.now, []quarantine.Suspicion{known}, nil)
		if known.Started >= s.Started && known.Trials >= s.Trials {
			return nil
		}
		s.Started, s.Trials = max(s.Started, known.Started), max(s.Trials, known.Trials)
	}
	if err := a.put(ctx, l, s, entry.Revision); err != nil {
		return err
	}
	a.Tracker.StoredAs(s)
	return nil
}

// put writes the entry of a suspicion if it has the expected revision.
func (a *Archive) put(ctx context.Context, l timeline, s *quarantine.Suspicion, expected store.Revision) error {
	raw, err := l.encodeSuspicion(s)
	if err != nil {
		return err
	}
	_, err = a.Store.Put(ctx, suspicionKey(s.Parts), raw, expected, store.NoLease)
	return err
}

// delete deletes the entry of a suspicion that has ended.
func (a *Archive) delete(ctx context.Context, parts []string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := suspicionKey(parts)
	entry, err := a.Store.Get(ctx, key)
	if err == nil {
		err = a.Store.Delete(ctx, key, entry.Revision)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	a.Tracker.Deleted(parts)
	return nil
}

// writeEvidence writes a loss under a lease.
func (a *Archive) writeEvidence(ctx context.Context, e *quarantine.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l := a.timeline()
	if a.lease == store.NoLease || l.now.Sub(a.leasedAt) > leaseReuse {
		lease, err := a.Store.Grant(ctx, quarantine.EvidenceTTL)
		if err != nil {
			return err
		}
		a.lease, a.leasedAt = lease, l.now
	}
	raw, err := l.encodeEvidence(e)
	if err != nil {
		return err
	}
	_, err = a.Store.Put(ctx, evidenceKey(e), raw, 0, a.lease)
	if err != nil {
		a.lease = store.NoLease
	}
	return err
}

// PermitTrial counts a trial of a suspicion in the store and reports whether it may start. It may not if
// another node has started one that this node did not know of, or if the store can't count it.
func (a *Archive) PermitTrial(s quarantine.Suspicion) bool {
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	err := a.countTrial(ctx, &s)
	if err != nil {
		a.Log.Info("trial of prompt parts not permitted", "shared_parts", strings.Join(s.Parts, ","), "cause", err.Error())
	}
	return err == nil
}

// errOtherTrial means that another node has started a trial.
var errOtherTrial = errors.New("another node has started a trial")

// countTrial adds a trial to the entry of a suspicion.
func (a *Archive) countTrial(ctx context.Context, s *quarantine.Suspicion) error {
	l := a.timeline()
	entry, err := a.Store.Get(ctx, suspicionKey(s.Parts))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if known, decodeErr := l.decodeSuspicion(entry.Value); err == nil && decodeErr == nil && known.Started > s.Started {
		a.Tracker.Restore(l.now, []quarantine.Suspicion{known}, nil)
		return errOtherTrial
	}
	s.Started++
	return a.put(ctx, l, s, entry.Revision)
}
