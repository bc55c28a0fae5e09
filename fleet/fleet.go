// Package fleet is the client of the platform's list of VMs and of its
// interface for ordering backend servers by failure domain.
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

// VM is a VM as the platform lists it. The list lags.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Leaving VMs are about to be taken away.
	Leaving bool `json:"leaving,omitempty"`
	// BackendServer names the backend server that runs on the VM. It is empty
	// for figweir's own VMs.
	BackendServer string `json:"backend_server,omitempty"`
}

// Lister returns the platform's list of live and leaving VMs.
type Lister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Action is what an order does.
type Action string

// The actions of an order.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

// Order asks the platform to start or stop one backend server.
type Order struct {
	// ID identifies the order; the platform takes a repeat of it once.
	ID            string `json:"id"`
	Action        Action `json:"action"`
	FailureDomain string `json:"failure_domain"`
	Pool          string `json:"pool"`
	// Class is "standard" or "reclaimable".
	Class string `json:"class,omitempty"`
	// BackendServer names the server to stop.
	BackendServer string `json:"backend_server,omitempty"`
	// FencingToken grows with each order of a failure domain.
	FencingToken uint64 `json:"fencing_token"`
	// Sender is the incarnation of the node that sends the order.
	Sender string `json:"sender"`
}

// Orderer sends orders to the platform.
type Orderer interface {
	Order(ctx context.Context, order Order) error
}

// ErrAmbiguous means that the order may or may not have reached the platform.
var ErrAmbiguous = errors.New("fleet: outcome unknown")

// ErrNotSent means that the platform can't have received the order.
var ErrNotSent = errors.New("fleet: order not sent")

// maxListBytes bounds the VM list: 490 VMs take about 60 KB.
const maxListBytes = 4 << 20

// Client calls the platform over HTTP with JSON bodies.
type Client struct {
	base string
	http *http.Client
}

var (
	_ Lister  = (*Client)(nil)
	_ Orderer = (*Client)(nil)
)

// NewClient returns a client of the platform at base.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{Timeout: timeout}}
}

// VMs implements Lister.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
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

// Order implements Orderer.
func (c *Client) Order(ctx context.Context, order Order) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/orders", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
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
