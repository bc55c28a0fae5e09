// Package fleet is a client of the platform's VM list and of its interface for
// starting and stopping backend servers by failure domain.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// VM is an entry of the platform's VM list. The list can be out of date.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Leaving is set if the platform is about to remove the VM.
	Leaving bool `json:"leaving,omitempty"`
	// BackendServer is the name of the backend server that runs on the VM. It is
	// empty for the VMs of figweir's nodes.
	BackendServer string `json:"backend_server,omitempty"`
}

// Lister lists the running and leaving VMs of the platform.
type Lister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Action selects what an order does.
type Action string

// Actions of orders.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

// Order asks the platform to start or stop one backend server.
type Order struct {
	// ID identifies the order. The platform carries out an order that is sent
	// several times with the same ID only once.
	ID            string `json:"id"`
	Action        Action `json:"action"`
	FailureDomain string `json:"failure_domain"`
	Pool          string `json:"pool"`
	// Class is "standard" or "reclaimable".
	Class string `json:"class,omitempty"`
	// BackendServer is the name of the server to stop.
	BackendServer string `json:"backend_server,omitempty"`
	// FencingToken increases with each order for a failure domain.
	FencingToken uint64 `json:"fencing_token"`
	// Sender is the incarnation of the node that sends the order.
	Sender string `json:"sender"`
}

// Orderer sends orders to the platform. Order returns an error that wraps ErrNotSent or
// ErrAmbiguous, or another error if the platform refused the order.
type Orderer interface {
	Order(ctx context.Context, order Order) error
}

// ErrAmbiguous is returned when it is unknown whether an order reached the platform.
var ErrAmbiguous = errors.New("fleet: outcome unknown")

// ErrNotSent is returned when no connection could be made, so that the platform can't
// have received the order.
var ErrNotSent = errors.New("fleet: order not sent")

// maxListBytes limits the size of the VM list. 490 VMs take about 60 KB.
const maxListBytes = 4 << 20

// Client calls the platform over HTTP with JSON bodies. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

var (
	_ Lister  = (*Client)(nil)
	_ Orderer = (*Client)(nil)
)

// NewClient returns a client of the platform at the base URL. The timeout limits each
// call; 0 means no limit.
func NewClient(baseURL string, timeout time.Duration) *Client {
	return &Client{baseURL: baseURL, httpClient: &http.Client{Timeout: timeout}}
}

// VMs implements Lister. It fails if the platform does not answer with status 200.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("VM list: status %d", resp.StatusCode)
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	return vms, nil
}

// Order implements Orderer. It returns an error that wraps ErrNotSent or ErrAmbiguous,
// or an error without these if the platform refused the order with a 4xx status.
func (c *Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(req)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return fmt.Errorf("%w: %s", ErrNotSent, err.Error())
		}
		return fmt.Errorf("%w: %s", ErrAmbiguous, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("%w: status %d", ErrAmbiguous, resp.StatusCode)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("fleet: order refused with status %d", resp.StatusCode)
	}
	return nil
}
