package once

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// settler sends settlements in the background and retries each until it is
// recorded.
type settler struct {
	config  ClaimerConfig
	locate  Locator
	wake    chan struct{}
	cancel  context.CancelFunc
	stopped chan struct{}

	mu    sync.Mutex
	queue []FinishRequest
	// sending is the number of settlements in flight.
	sending int
	// dropped counts settlements that were not queued because the queue was full.
	dropped int64
}

func startSettler(config ClaimerConfig, locate Locator) *settler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &settler{config: config, locate: locate, wake: make(chan struct{}, 1), cancel: cancel, stopped: make(chan struct{})}
	go s.run(ctx)
	return s
}

func (s *settler) close() {
	s.cancel()
	<-s.stopped
}

func (s *settler) pending() (int, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) + s.sending, s.dropped
}

// enqueue queues a settlement. It returns false if the queue is full.
func (s *settler) enqueue(request FinishRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue)+s.sending >= s.config.MaxPending {
		s.dropped++
		return false
	}
	s.queue = append(s.queue, request)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// run sends all queued settlements, and pauses after each round so that an
// outage doesn't cause a retry storm.
func (s *settler) run(ctx context.Context) {
	defer close(s.stopped)
	timer := time.NewTimer(s.config.RetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		s.sendQueued(ctx)
		timer.Reset(s.config.RetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendQueued sends all queued settlements once and waits for the responses.
func (s *settler) sendQueued(ctx context.Context) {
	s.mu.Lock()
	requests := s.queue
	s.queue, s.sending = nil, len(requests)
	s.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(s.config.Parallel)
	for _, request := range requests {
		group.Go(func() error {
			sendCtx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
			defer cancel()
			err := sendSettlement(sendCtx, s.locate, request)
			s.finishAttempt(request, err == nil || isFinal(err))
			return nil
		})
	}
	_ = group.Wait()
}

// finishAttempt completes an attempt to send a settlement, and queues the
// settlement again if it was not recorded.
func (s *settler) finishAttempt(request FinishRequest, recorded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending--
	if recorded {
		return
	}
	s.queue = append(s.queue, request)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
