package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/orders"
)

type orderCommand struct {
	Role orderRole `cmd:"" help:"Drain an engine and give it another role."`
	Load orderLoad `cmd:"" help:"Have an engine load a model or an adapter."`
}

type orderRole struct {
	operatorFlags
	Server string `arg:"" help:"Name of the engine."`
	Role   string `arg:"" enum:"mixed,prefill,decode" help:"New role: mixed, prefill or decode."`
}

// Help implements kong.HelpProvider.
func (*orderRole) Help() string {
	return "Send the order to the node that holds the duty of the engine's failure domain; any other node rejects it and names that node.\n\nExample:\n\n    figweir order role saumur-lm-3 prefill"
}

// Run submits the role change and waits until the engine is back in service.
func (c *orderRole) Run(env *environment) error {
	return c.submitOrder(env, orders.Order{Kind: engine.OrderRole, Server: c.Server, Role: config.Role(c.Role)})
}

type orderLoad struct {
	operatorFlags
	Server  string `arg:"" help:"Name of the engine."`
	Model   string `arg:"" help:"Name of the model or adapter."`
	Version string `help:"Version to load."`
	Adapter bool   `help:"Load an adapter and not a model."`
}

// Help implements kong.HelpProvider.
func (*orderLoad) Help() string {
	return "Example:\n\n    figweir order load saumur-lm-3 hem-lm --version 7"
}

// Run submits the order to load a model or an adapter and waits for the result.
func (c *orderLoad) Run(env *environment) error {
	kind := engine.OrderLoadModel
	if c.Adapter {
		kind = engine.OrderLoadAdapter
	}
	return c.submitOrder(env, orders.Order{Kind: kind, Server: c.Server, Model: c.Model, Version: c.Version})
}

// submitOrder sends an order and prints how long the engine was out of service.
func (f *operatorFlags) submitOrder(env *environment, order orders.Order) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	result, err := client.submitOrder(env.ctx, order)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "order %s carried out; the engine was out of service for %.1f s, %.1f s of it for its drain\n",
		result.OrderID, result.OutSeconds, result.DrainSeconds)
	return nil
}

// errOrderOutcomeUnknown means that it is unknown whether an order was carried
// out.
var errOrderOutcomeUnknown = errors.New("the outcome of the order is unknown: it may still be carried out; check the state of the engine before you repeat it")

// orderTimeout is the timeout of an order. It is long because a drain waits for
// running streams to end.
const orderTimeout = 15 * time.Minute

// submitOrder sends an order and never sends it again after a failure. It returns
// errOrderOutcomeUnknown if the response was lost.
func (c *operatorClient) submitOrder(ctx context.Context, order orders.Order) (orders.Result, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return orders.Result{}, err
	}
	c.http.Timeout = orderTimeout
	var result orders.Result
	err = c.call(ctx, http.MethodPost, "/v1/orders", body, &result)
	var transportErr *transportError
	if errors.As(err, &transportErr) && !transportErr.notSent {
		return result, fmt.Errorf("%w (%w)", errOrderOutcomeUnknown, err)
	}
	return result, err
}
