package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"strings"

	"connectrpc.com/connect"
)

const (
	authHeader = "Authorization"
	authScheme = "Bearer "
)

var errUnauthenticated = errors.New("peer: missing or wrong shared secret")

// Auth is a connect interceptor that sends the shared secret with each call
// that a client makes and checks it on each call that a server receives. An
// empty secret accepts every call; nodes use that on loopback, and where the
// network lets nobody but nodes reach the peers' listener.
type Auth struct {
	header string
	digest [sha256.Size]byte
	open   bool
}

var _ connect.Interceptor = (*Auth)(nil)

// NewAuth returns the interceptor for a shared secret.
func NewAuth(secret string) *Auth {
	return &Auth{header: authScheme + secret, digest: sha256.Sum256([]byte(secret)), open: secret == ""}
}

// WrapUnary implements connect.Interceptor.
func (a *Auth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			a.set(request.Header())
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
		a.set(conn.RequestHeader())
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

func (a *Auth) set(header interface{ Set(key, value string) }) {
	if !a.open {
		header.Set(authHeader, a.header)
	}
}

// check compares digests, so that the time taken depends neither on the content
// nor on the length of the secret.
func (a *Auth) check(value string) error {
	if a.open {
		return nil
	}
	secret, ok := strings.CutPrefix(value, authScheme)
	digest := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(digest[:], a.digest[:]) != 1 || !ok {
		return connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	return nil
}
