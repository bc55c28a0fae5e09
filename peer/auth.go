package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"

	"connectrpc.com/connect"
)

const (
	authHeader = "Authorization"
	authScheme = "Bearer "
)

var errUnauthenticated = errors.New("peer: missing or wrong shared secret")

// Auth is a connect interceptor. In clients it adds the shared secret to each
// call, in servers it rejects calls without the secret with the code
// unauthenticated. With an empty secret, servers accept every call. Nodes use an
// empty secret on loopback, and where the network allows only nodes to reach the
// peer listener.
type Auth struct {
	header    string
	digest    [sha256.Size]byte
	acceptAll bool
}

var _ connect.Interceptor = (*Auth)(nil)

// NewAuth returns the interceptor for a shared secret.
func NewAuth(secret string) *Auth {
	return &Auth{header: authScheme + secret, digest: sha256.Sum256([]byte(secret)), acceptAll: secret == ""}
}

// WrapUnary implements connect.Interceptor.
func (a *Auth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			a.setHeader(request.Header())
		} else if err := a.check(request.Header().Get(authHeader)); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (a *Auth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		a.setHeader(conn.RequestHeader())
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (a *Auth) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.check(conn.RequestHeader().Get(authHeader)); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

// RequireSecret refuses HTTP requests without the secret before their messages are read, and passes the
// others to next.
func (a *Auth) RequireSecret(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := a.check(r.Header.Get(authHeader)); err != nil {
			_ = writer.Write(w, r, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// setHeader adds the secret to the headers of a call.
func (a *Auth) setHeader(header interface{ Set(key, value string) }) {
	if !a.acceptAll {
		header.Set(authHeader, a.header)
	}
}

// check returns an error if the value of the Authorization header does not contain
// the secret. It compares digests in constant time, so that the duration reveals
// neither the content nor the length of the secret.
func (a *Auth) check(value string) error {
	if a.acceptAll {
		return nil
	}
	secret, ok := strings.CutPrefix(value, authScheme)
	digest := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(digest[:], a.digest[:]) != 1 || !ok {
		return connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	return nil
}
