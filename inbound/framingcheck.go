package inbound

import (
	"net/http"
	"time"
)

// Refusal answers a request with status 400 because its framing is not sound. The connection is closed
// afterwards. Nothing of the request has been handled.
type Refusal func(w http.ResponseWriter, r *http.Request, cause error)

// RefuseInText is a Refusal in plain text.
func RefuseInText(w http.ResponseWriter, _ *http.Request, cause error) {
	http.Error(w, cause.Error(), http.StatusBadRequest)
}

// refusalTimeout is how long a client may take to read the answer to a refused request, and how long it may
// go on sending the request. A client that still sends when the connection is closed may get a reset in
// place of the answer.
const refusalTimeout = time.Second

// framingCheck passes requests of HTTP/1.1 on whose framing is sound. Each request of a connection has to
// go through it.
type framingCheck struct {
	next   http.Handler
	refuse Refusal
}

// ServeHTTP implements http.Handler.
func (h *framingCheck) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		// The server is not on a Listener, or lacks the ConnContext hook.
		panic("inbound: request of an unknown connection")
	}
	cause := conn.framing.admit()
	if cause == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Connection", "close")
	control, deadline := http.NewResponseController(w), time.Now().Add(refusalTimeout)
	_ = control.SetWriteDeadline(deadline)
	// net/http reads up to 256 KB of the body behind the answer.
	_ = control.SetReadDeadline(deadline)
	h.refuse(w, r, cause)
}
