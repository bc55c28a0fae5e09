package upstream

import (
	"context"
	"net"
	"net/http"

	"github.com/figweir/figweir/tcpstate"
)

// maxTransportHeaderBytes is the maximum size of the header of a response, in bytes.
const maxTransportHeaderBytes = maxHeaderBytes

// CallerTransport is an http.RoundTripper for requests to backend servers that are sent on behalf of
// callers. It sends nothing, and returns tcpstate.ErrPeerClosed, if the context belongs to a request
// whose caller has closed its connection.
type CallerTransport struct{ base *http.Transport }

// NewCallerTransport wraps base, which must not have a DialContext. Connections are made by dialer.
func NewCallerTransport(base *http.Transport, dialer *net.Dialer) *CallerTransport {
	base.MaxResponseHeaderBytes = maxTransportHeaderBytes
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// A dial takes long enough for a caller to leave.
		if err := tcpstate.CheckPeer(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		return c, nil
	}
	return &CallerTransport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *CallerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := tcpstate.CheckPeer(r.Context()); err != nil {
		return nil, err
	}
	return t.base.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections.
func (t *CallerTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }
