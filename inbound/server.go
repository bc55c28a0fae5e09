package inbound

import (
	"net/http"
	"time"
)

const (
	// http2MaxHeaderBytes is the size of the largest header of a request of HTTP/2. Those of peers have
	// less than 1 KB. net/http keeps the headers of four times as many requests as may be open, if they
	// were reset before they were handled.
	http2MaxHeaderBytes = 4 << 10
	// maxFrameBytes is the size of the largest frame of HTTP/2, which is buffered as a whole; the least
	// that the protocol allows.
	maxFrameBytes = 16 << 10
	// maxUnreadBytes is how much of the bodies of a connection of HTTP/2 may arrive before it is read;
	// the least that the protocol allows is 65,535.
	maxUnreadBytes = 64 << 10
	// headerTableBytes is the size of the table of header compression.
	headerTableBytes = 4 << 10
	// http2ConnectionBytes is the memory of a connection of HTTP/2 without headers: its goroutines, its
	// buffers and the buffer of a frame.
	http2ConnectionBytes = 64 << 10
)

// Timeouts and limits of servers that are not for callers.
const (
	serverHeaderTimeout  = 5 * time.Second
	serverBodyTimeout    = 5 * time.Second
	serverIdleTimeout    = 60 * time.Second
	serverWriteTimeout   = 10 * time.Second
	serverMaxHeaderBytes = 64 << 10
)

// NewServer returns a server for listeners that are not for callers. Its connections and requests count
// in the account of the listener. refuse answers the requests whose framing is not sound.
func NewServer(handler http.Handler, protocol Protocol, refuse Refusal) *http.Server {
	s := &http.Server{
		Handler:           NewHandler(handler, Options{BodyTimeout: serverBodyTimeout, WriteTimeout: serverWriteTimeout}),
		ReadHeaderTimeout: serverHeaderTimeout, IdleTimeout: serverIdleTimeout,
		MaxHeaderBytes: serverMaxHeaderBytes,
	}
	Attach(s, protocol, refuse)
	return s
}

// Attach sets the hooks of a server on a Listener, the check of the framing of requests of HTTP/1.1, and
// the limits of HTTP/2. refuse answers the requests whose framing is not sound.
func Attach(s *http.Server, protocol Protocol, refuse Refusal) {
	s.ConnContext, s.ConnState = ConnContext, TrackConnState
	if !protocol.isHTTP2() {
		s.Handler = &framingCheck{next: s.Handler, refuse: refuse}
		// Otherwise net/http answers "OPTIONS *" itself, without the check.
		s.DisableGeneralOptionsHandler = true
		return
	}
	s.MaxHeaderBytes = http2MaxHeaderBytes
	s.Protocols = new(http.Protocols)
	s.Protocols.SetUnencryptedHTTP2(true)
	s.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: protocol.maxStreams, MaxReadFrameSize: maxFrameBytes, MaxDecoderHeaderTableSize: headerTableBytes,
		MaxReceiveBufferPerConnection: maxUnreadBytes, MaxReceiveBufferPerStream: maxUnreadBytes,
	}
}
