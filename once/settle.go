package once

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// settler records settlements in the background until each is recorded.
type settler struct {
	config ClaimerConfig
	locate Locator
	wake   chan struct{}
	cancel context.CancelFunc
	ended  chan struct{}

	mu      sync.Mutex
	waiting []FinishRequest
	// active counts the settlements that are being sent.
	active  int
	givenUp int64
}

func startSettler(config ClaimerConfig, locate Locator) *settler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &settler{config: config, locate: locate, wake: make(chan struct{}, 1), cancel: cancel, ended: make(chan struct{})}
	go s.run(ctx)
	return s
}

func (s *settler) close() {
	s.cancel()
	<-s.ended
}

func (s *settler) pending() (int, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) + s.active, s.givenUp
}

// add queues a settlement and returns false if too many wait.
func (s *settler) add(request FinishRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+s.active >= s.config.MaxPending {
		s.givenUp++
		return false
	}
	s.waiting = append(s.waiting, request)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// run sends all waiting settlements, and pauses between two rounds so that an
// outage is not met with a storm of requests.
func (s *settler) run(ctx context.Context) {
	defer close(s.ended)
	timer := time.NewTimer(s.config.RetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		s.round(ctx)
		timer.Reset(s.config.RetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *settler) round(ctx context.Context) {
	s.mu.Lock()
	requests := s.waiting
	s.waiting, s.active = nil, len(requests)
	s.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(s.config.Parallel)
	for _, request := range requests {
		group.Go(func() error {
			sendCtx, cancel := context.WithTimeout(ctx, s.config.AnswerTimeout)
			defer cancel()
			err := send(sendCtx, s.locate, request)
			s.sent(request, err == nil || isFinal(err))
			return nil
		})
	}
	_ = group.Wait()
}

// sent notes the end of an attempt and queues the settlement again if it is not
// recorded.
func (s *settler) sent(request FinishRequest, recorded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if recorded {
		return
	}
	s.waiting = append(s.waiting, request)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
