package main

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/figweir/figweir/store"
)

// slowStore delays each call and limits the rates of reads and writes. Calls
// above the rate wait.
type slowStore struct {
	store.Store
	delay         time.Duration
	reads, writes *rate.Limiter

	readCalls, writeCalls, writtenBytes atomic.Int64
}

func newSlowStore(s store.Store, o *options) *slowStore {
	return &slowStore{
		Store: s, delay: o.Delay,
		reads:  rate.NewLimiter(rate.Limit(o.Reads), max(1, int(o.Reads/100))),
		writes: rate.NewLimiter(rate.Limit(o.Writes), max(1, int(o.Writes/100))),
	}
}

func (s *slowStore) wait(ctx context.Context, limiter *rate.Limiter) error {
	if err := limiter.Wait(ctx); err != nil {
		return store.ErrUnavailable
	}
	time.Sleep(s.delay)
	return nil
}

// Get implements store.Store.
func (s *slowStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.wait(ctx, s.reads); err != nil {
		return store.Entry{}, err
	}
	s.readCalls.Add(1)
	return s.Store.Get(ctx, key)
}

// Put implements store.Store.
func (s *slowStore) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if err := s.wait(ctx, s.writes); err != nil {
		return 0, err
	}
	s.writeCalls.Add(1)
	s.writtenBytes.Add(int64(len(value)))
	return s.Store.Put(ctx, key, value, expected, lease)
}
