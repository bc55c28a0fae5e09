//go:build review

package harness3

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// guardInterval is the time between two looks at the memory of a process, restartDelay that
	// between its end and its next start.
	guardInterval = 20 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

// Guard is the platform's limit on the memory of a gateway: a process that exceeds it is killed, and
// started again after a short delay.
type Guard struct {
	// Kills counts the processes that were killed, Ended those that ended by themselves.
	Kills, Ended atomic.Int64
	// PeakMB is the most memory that was seen.
	PeakMB atomic.Int64

	gateway *Gateway
	ready   atomic.Bool
	stop    chan struct{}
	stopped sync.WaitGroup
}

// Guard starts to watch a gateway.
func (w *World) Guard(g *Gateway, memoryMB int) *Guard {
	guard := &Guard{gateway: g, stop: make(chan struct{})}
	guard.ready.Store(true)
	guard.stopped.Go(func() { guard.run(w, memoryMB) })
	w.OnClose(guard.Stop)
	return guard
}

// Ready reports whether the gateway runs and is ready.
func (d *Guard) Ready() bool { return d.ready.Load() }

// Ends returns how often the process has ended for its memory, or by itself.
func (d *Guard) Ends() int64 { return d.Kills.Load() + d.Ended.Load() }

// Stop ends the watch. It may be called more than once.
func (d *Guard) Stop() {
	select {
	case <-d.stop:
	default:
		close(d.stop)
	}
	d.stopped.Wait()
}

func (d *Guard) run(w *World, memoryMB int) {
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(guardInterval):
		}
		now, _ := d.gateway.MemoryMB()
		d.PeakMB.Store(max(d.PeakMB.Load(), int64(now)))
		switch {
		case d.gateway.Exited():
			d.Ended.Add(1)
			w.Logf("%s has ended by itself", d.gateway.name)
		case now > memoryMB:
			d.Kills.Add(1)
			w.Logf("%s has %d MB of %d MB and is killed", d.gateway.name, now, memoryMB)
			d.gateway.kill()
		default:
			continue
		}
		d.ready.Store(false)
		time.Sleep(restartDelay)
		d.gateway.start()
		if !d.awaitReady() {
			return
		}
		d.ready.Store(true)
	}
}

// awaitReady waits until the gateway is ready. It returns false if the watch ends before.
func (d *Guard) awaitReady() bool {
	for !d.gateway.IsReady() {
		select {
		case <-d.stop:
			return false
		case <-time.After(guardInterval):
		}
	}
	return true
}
