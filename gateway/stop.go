package gateway

import (
	"time"

	"github.com/figweir/figweir/platform"
)

// stop continues to serve until the load balancer has removed the node. It then
// rejects new requests, which the end of the grace period might interrupt, and waits
// for the running ones. From then on a request that was taken before is sent to a backend server
// only if it will end in time. Requests that still run shortly before the end of the grace period
// are answered with an error.
func (g *Gateway) stop(l *platform.Listener) {
	now, gracePeriod := time.Now(), g.settings.GracePeriod()
	acceptUntil := now.Add(min(acceptAfterStop, time.Duration(maxAcceptFraction*float64(gracePeriod))))
	endsAt := now.Add(gracePeriod - stopMargin)
	g.callerHandler.Core.Draining.Begin(acceptUntil, endsAt)
	g.stopping.Store(true)
	g.callerHandler.Stopping.Store(true)
	time.Sleep(time.Until(acceptUntil))
	g.callerHandler.RejectNew.Store(true)
	_ = l.Listener.Close()
	for time.Now().Before(endsAt.Add(stopAnswerTime)) {
		l.CloseIdle(stopIdleTime)
		if g.callerHandler.InFlight.Load() == 0 && l.Connections() == 0 {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

const (
	// stopIdleTime is how long a connection must have been idle for a stopping node
	// to close it.
	stopIdleTime = 300 * time.Millisecond
	// stopPollInterval is the time between two checks of the open connections.
	stopPollInterval = 50 * time.Millisecond
)
