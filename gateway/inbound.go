package gateway

import (
	"fmt"
	"net/http"

	"github.com/figweir/figweir/inbound"
)

// logInbound counts a connection or request that was closed or refused because a limit on what
// clients send was reached (see membudget.Inbound), and logs it at a bounded rate.
func (o *observer) logInbound(what string) {
	o.inbound.Add(what, 1)
	if !o.logLimiter.Allow() {
		o.droppedLines.Add("inbound", 1)
		return
	}
	o.log.Info("limit on data or connections of clients reached", "event", what)
}

// logUnsound logs and counts a request that was refused because its framing is not sound, on a listener
// that is not for callers.
func (o *observer) logUnsound(listener string, cause error) {
	o.refusals.Add(fmt.Sprintf("status_%d", http.StatusBadRequest), 1)
	o.failureLog.Info("request rejected", "listener", listener, "status", http.StatusBadRequest, "cause", cause.Error())
}

// refuseUnsound returns the refusal of requests whose framing is not sound, for a listener that is not for
// callers.
func (g *Gateway) refuseUnsound(listener string) inbound.Refusal {
	return func(w http.ResponseWriter, r *http.Request, cause error) {
		g.observer.logUnsound(listener, cause)
		inbound.RefuseInText(w, r, cause)
	}
}
