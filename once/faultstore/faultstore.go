// Package faultstore shows a key-value store as one process sees it that may be
// killed or paused at any call, and whose calls may be refused, lost or late. It
// is a stand-in for proofs.
package faultstore

import (
	"context"
	"sync"
	"time"

	"github.com/figweir/figweir/store"
)

// Fault is what happens to one call of a process.
type Fault string

// The faults of a call. The zero value is none.
const (
	// Refuse does not act and returns store.ErrUnavailable.
	Refuse Fault = "refuse"
	// LoseRequest does not act; the outcome is unknown to the caller.
	LoseRequest Fault = "lose request"
	// LoseAnswer acts; the outcome is unknown to the caller.
	LoseAnswer Fault = "lose answer"
	// DeliverLate returns with an unknown outcome and acts after LateBy.
	DeliverLate Fault = "deliver late"
	// PauseBefore and PauseAfter hold the call until Process.Resume.
	PauseBefore Fault = "pause before"
	PauseAfter  Fault = "pause after"
	// KillBefore and KillAfter end the process.
	KillBefore Fault = "kill before"
	KillAfter  Fault = "kill after"
)

// All lists every fault.
var All = []Fault{Refuse, LoseRequest, LoseAnswer, DeliverLate, PauseBefore, PauseAfter, KillBefore, KillAfter}

// LateBy is the delay of DeliverLate. It is longer than a claim may take, so that
// what is delivered late meets the release of its claim.
const LateBy = time.Second

// Script holds the faults of the next calls. The zero value is empty.
type Script struct {
	mu     sync.Mutex
	faults []Fault
}

// Set replaces the faults of the next calls.
func (s *Script) Set(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Next takes the fault of one call.
func (s *Script) Next() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return ""
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// Process is a process that can be killed and paused. Ended must be closed when
// the proof is over, and releases every call that is held.
type Process struct {
	Ended <-chan struct{}

	mu     sync.Mutex
	dead   bool
	resume chan struct{}
}

// Kill ends the process: none of its later calls has an effect or returns.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// Dead says whether the process was killed.
func (p *Process) Dead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// Resume ends all pauses.
func (p *Process) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

func (p *Process) pause() {
	p.mu.Lock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
	resume := p.resume
	p.mu.Unlock()
	select {
	case <-resume:
	case <-p.Ended:
	}
}

// Before is called before an effect. It holds a call that is paused, and for good
// a call of a process that is killed.
func (p *Process) Before(f Fault) { p.point(f, PauseBefore, KillBefore) }

// After is called after an effect, like Before.
func (p *Process) After(f Fault) { p.point(f, PauseAfter, KillAfter) }

func (p *Process) point(f, pause, kill Fault) {
	switch f {
	case pause:
		p.pause()
	case kill:
		p.Kill()
	}
	if p.Dead() {
		<-p.Ended
	}
}

// Store is a store as one process sees it. Get, Put and Delete follow the script.
type Store struct {
	store.Store
	Process *Process
	Script  *Script
}

func (s *Store) do(write bool, act func() error) error {
	f := s.Script.Next()
	s.Process.Before(f)
	select {
	case <-s.Process.Ended:
		return store.ErrUnavailable
	default:
	}
	lost := store.ErrUnavailable
	if write {
		lost = store.ErrAmbiguous
	}
	switch f {
	case Refuse:
		return store.ErrUnavailable
	case LoseRequest:
		return lost
	case DeliverLate:
		if write {
			go func() {
				time.Sleep(LateBy)
				_ = act()
			}()
		}
		return lost
	}
	err := act()
	s.Process.After(f)
	if f == LoseAnswer {
		return lost
	}
	return err
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.do(false, func() (err error) {
		entry, err = s.Store.Get(context.WithoutCancel(ctx), key)
		return err
	})
	return entry, err
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	var revision store.Revision
	err := s.do(true, func() error {
		r, err := s.Store.Put(context.WithoutCancel(ctx), key, value, expected, lease)
		revision = r
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected store.Revision) error {
	return s.do(true, func() error { return s.Store.Delete(context.WithoutCancel(ctx), key, expected) })
}
