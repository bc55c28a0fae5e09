package cli

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/metrics"
	"github.com/figweir/figweir/operator"
	"github.com/figweir/figweir/orders"
)

// Guards against an order that is changed on its way to the node, and against
// an unknown outcome that reads like a refusal.
func TestOrders(t *testing.T) {
	is := is.New(t)
	var got orders.Order
	var err error
	handler := &operator.Handler{Metrics: metrics.New(), Log: logr.Discard(), MaxBodyBytes: 1 << 20,
		Submit: func(_ context.Context, o orders.Order) (orders.Result, error) {
			got = o
			return orders.Result{OrderID: "o-1", OutSeconds: 2, DrainSeconds: 1}, err
		}}
	server := httptest.NewServer(handler.Router())
	defer server.Close()
	t.Setenv("FIGWEIR_OPERATOR", server.Listener.Addr().String())

	r := runCommand(t, "order", "role", "e-1", "prefill")
	is.Equal(r.code, ExitDone)
	is.True(strings.Contains(r.out, "o-1"))
	is.Equal(got, orders.Order{Kind: engine.OrderRole, Server: "e-1", Role: "prefill"})
	r = runCommand(t, "order", "load", "e-1", "m", "--version", "7", "--adapter")
	is.Equal(r.code, ExitDone)
	is.Equal(got, orders.Order{Kind: engine.OrderLoadAdapter, Server: "e-1", Model: "m", Version: "7"})
	is.Equal(runCommand(t, "order", "role", "e-1", "other").code, ExitUsage)

	for want, cause := range map[string]error{
		"conflict":        orders.ErrLeaving,
		"not_found":       orders.ErrUnknownServer,
		"outcome_unknown": &authority.UnknownError{Err: orders.ErrNotHolder},
		"bad_request":     &orders.InvalidError{Reason: "no role"},
	} {
		err = cause
		r = runCommand(t, "order", "role", "e-1", "decode")
		is.Equal(r.code, ExitFailed)
		is.True(strings.Contains(r.err, want))
	}
}

// Guards against "help" being taken for an unknown command.
func TestHelpCommand(t *testing.T) {
	is := is.New(t)
	r := runCommand(t, "help")
	is.Equal(r.code, ExitDone)
	is.Equal(r.out, runCommand(t, "--help").out)
	is.Equal(runCommand(t, "help", "order", "role").out, runCommand(t, "order", "role", "--help").out)
}
