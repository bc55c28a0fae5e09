package gateway

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
