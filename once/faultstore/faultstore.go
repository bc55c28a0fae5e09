// Package faultstore injects faults into the store calls of a simulated
// process. The process may be killed or paused at any call, and calls may be
// refused, lost or delayed. It is for tests.
package faultstore

import (
	"context"
	"sync"
	"time"

	"github.com/figweir/figweir/store"
)

// Fault is a fault of one call of a process.
type Fault string

// The faults of a call. The zero value is no fault.
const (
	// Refuse returns store.ErrUnavailable without making the call.
	Refuse Fault = "refuse"
	// LoseRequest returns an unknown outcome without making the call.
	LoseRequest Fault = "lose request"
	// LoseAnswer makes the call and returns an unknown outcome.
	LoseAnswer Fault = "lose answer"
	// DeliverLate returns an unknown outcome and makes the call after
	// LateDelay.
	DeliverLate Fault = "deliver late"
	// PauseBefore and PauseAfter block before or after the call until
	// Process.Resume.
	PauseBefore Fault = "pause before"
	PauseAfter  Fault = "pause after"
	// KillBefore and KillAfter kill the process before or after the call.
	KillBefore Fault = "kill before"
	KillAfter  Fault = "kill after"
)

// All lists every fault.
var All = []Fault{Refuse, LoseRequest, LoseAnswer, DeliverLate, PauseBefore, PauseAfter, KillBefore, KillAfter}

// LateDelay is the delay of DeliverLate. It is longer than the default request
// timeout of a claim, so that a delayed claim arrives after its release.
const LateDelay = time.Second

// Script is a queue of faults for the next calls. The zero value is empty.
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

// Next removes and returns the fault of the next call, or "" if the queue is
// empty.
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

// Process is a simulated process that can be killed and paused. Done must be
// closed at the end of the test; it unblocks all blocked calls.
type Process struct {
	Done <-chan struct{}

	mu     sync.Mutex
	killed bool
	resume chan struct{}
}

// Kill kills the process: its later calls have no effect and don't return
// before Done is closed.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

// Killed reports whether the process was killed.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
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
	case <-p.Done:
	}
}

// Before is called before a call takes effect. It blocks a paused call until
// Resume, and a call of a killed process until Done is closed.
func (p *Process) Before(f Fault) { p.inject(f, PauseBefore, KillBefore) }

// After is called after a call took effect and blocks like Before.
func (p *Process) After(f Fault) { p.inject(f, PauseAfter, KillAfter) }

func (p *Process) inject(f, pause, kill Fault) {
	switch f {
	case pause:
		p.pause()
	case kill:
		p.Kill()
	}
	if p.Killed() {
		<-p.Done
	}
}

// Store wraps the store of one process. Get, Put and Delete apply the faults of
// Script.
type Store struct {
	store.Store
	Process *Process
	Script  *Script
}

func (s *Store) call(write bool, apply func() error) error {
	f := s.Script.Next()
	s.Process.Before(f)
	select {
	case <-s.Process.Done:
		return store.ErrUnavailable
	default:
	}
	errUnknown := store.ErrUnavailable
	if write {
		errUnknown = store.ErrAmbiguous
	}
	switch f {
	case Refuse:
		return store.ErrUnavailable
	case LoseRequest:
		return errUnknown
	case DeliverLate:
		if write {
			go func() {
				time.Sleep(LateDelay)
				_ = apply()
			}()
		}
		return errUnknown
	}
	err := apply()
	s.Process.After(f)
	if f == LoseAnswer {
		return errUnknown
	}
	return err
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.call(false, func() (err error) {
		entry, err = s.Store.Get(context.WithoutCancel(ctx), key)
		return err
	})
	return entry, err
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	var revision store.Revision
	err := s.call(true, func() error {
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
	return s.call(true, func() error { return s.Store.Delete(context.WithoutCancel(ctx), key, expected) })
}
