package once

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/finding"
)

// silentHandle never answers until it is opened.
type silentHandle struct{ open chan struct{} }

func (h silentHandle) Claim(ctx context.Context, _ ClaimRequest) (Answer, error) {
	<-ctx.Done()
	return Answer{State: Granted}, nil // too late
}

func (h silentHandle) Finish(ctx context.Context, _ FinishRequest) error {
	select {
	case <-h.open:
		return nil
	case <-ctx.Done():
		return ErrNoAnswer
	}
}

// TestClaimerLimits guards against a grant that is used after its time, a release
// that is forgotten, and a queue of settlements that grows without bound.
func TestClaimerLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		config := DefaultClaimerConfig()
		config.MaxPending = 2
		handle := silentHandle{open: make(chan struct{})}
		c := NewClaimer("n1", config, func(Range) Handle { return handle })
		defer c.Close()
		for range 3 {
			is.Equal(c.Claim(t.Context(), Call{}).State, Refused)
		}
		waiting, givenUp := c.Pending()
		is.Equal(waiting, 2)
		is.Equal(givenUp, int64(1))
		is.True(errors.Is(c.Finish(t.Context(), &Claim{}, nil), ErrNotRecorded))
		close(handle.open)
		time.Sleep(time.Minute)
		waiting, _ = c.Pending()
		is.Equal(waiting, 0)

		alone := NewClaimer("n1", config, func(Range) Handle { return nil })
		defer alone.Close()
		is.Equal(alone.Claim(t.Context(), Call{}).State, Refused)
		waiting, _ = alone.Pending()
		is.Equal(waiting, 0) // nothing was asked, nothing to release
	})
}

// TestConfigCheck guards against limits that let a head grow near the largest
// value of the store, and against a report of one problem at a time.
func TestConfigCheck(t *testing.T) {
	is := is.New(t)
	var list finding.List
	config := DefaultConfig()
	config.Check(&list, "$.once")
	is.NoErr(list.Err())
	config.Ranges, config.SealBytes, config.BatchEntries = 0, 1<<20, 1<<15
	config.Check(&list, "$.once")
	is.Equal(len(list.All()), 3)
}
