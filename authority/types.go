package authority

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/boottime"
)

// Limits for the texts in a journal record. With one intent of maximum size on
// each of 94 targets, the record stays below a fifth of store.MaxValueBytes.
const (
	// MaxOrderBytes limits the length of Order.Kind plus Order.Detail.
	MaxOrderBytes = 1024
	// MaxTargetNameBytes limits the length of Target.Name.
	MaxTargetNameBytes = 128
)

// Process identifies one run of figweir.
type Process struct {
	// Incarnation is unique to the run.
	Incarnation string `json:"incarnation"`
	// Address is the VM address with the port of a listener that the process
	// has bound before it uses this package. At most one process can hold it at
	// a time, so a later incarnation at the same address proves that the
	// earlier one has ended.
	Address string `json:"address"`
}

// NewProcess returns a process with a new random incarnation.
func NewProcess(address string) Process {
	return Process{Incarnation: uuid.NewString(), Address: address}
}

// Target is a recipient of orders: an engine, the platform's ordering interface
// for a failure domain, or the billing interface for a window.
type Target struct {
	// Name is unique within a duty.
	Name string `json:"name"`
	// Generation increases whenever the target is replaced by another one that
	// orders addressed to the earlier one can't reach.
	Generation uint64 `json:"generation,omitempty"`
	// ChecksTokens is true if the target refuses orders whose fencing token is
	// lower than the highest it has seen. It is false if unknown.
	ChecksTokens bool `json:"checks_tokens,omitempty"`
}

// Order describes an order for the journal and the operators' report. The
// caller's Send function sends the order itself.
type Order struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail,omitempty"`
}

// Send sends an order with its fencing token. It returns nil if the target
// accepted the order, an error made with Refused if the target definitely did
// not accept this copy, and any other error if that is unknown. It must return
// when ctx ends, and no copy of the order may reach the target later than the
// connection timeout after its return.
type Send func(ctx context.Context, token uint64) error

// FenceFunc sends a target an order that only raises the highest fencing token
// the target has seen. Its result is that of Send.
type FenceFunc func(ctx context.Context, target Target, token uint64) error

// Intent is an order that may reach its target.
type Intent struct {
	OrderID string `json:"order_id"`
	Target  Target `json:"target"`
	Order   Order  `json:"order"`
	// Number is the fencing token of the order.
	Number uint64 `json:"number"`
	// Fence is true if the intent is for the fencing order to the target
	// instead of the order itself.
	Fence  bool    `json:"fence,omitempty"`
	Writer Process `json:"writer"`
	// OpenedUnixMillis is the wall clock time of the writer when it opened the
	// intent. It is only reported and never used in decisions.
	OpenedUnixMillis int64 `json:"opened_ms"`
}

// Opened returns the time at which the writer opened the intent, according to
// the writer's wall clock.
func (i Intent) Opened() time.Time { return time.UnixMilli(i.OpenedUnixMillis).UTC() }

// Clock provides the time of one process. Now must be monotonic.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d or until ctx ends, and returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock implements Clock with the clock of package time.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) error { return boottime.Sleep(ctx, d) }

// VMLister reads the platform's list of VMs.
type VMLister interface {
	// Addresses returns the process addresses of the listed VMs. After an
	// error, nothing is known about any VM.
	Addresses(ctx context.Context) ([]string, error)
}

func validate(target Target, order Order) error {
	if target.Name == "" || len(target.Name) > MaxTargetNameBytes {
		return fmt.Errorf("authority: the target name has %d bytes; it must have 1 to %d", len(target.Name), MaxTargetNameBytes)
	}
	if size := len(order.Kind) + len(order.Detail); order.Kind == "" || size > MaxOrderBytes {
		return fmt.Errorf("authority: the order has kind %q and %d bytes; it must have a kind and at most %d bytes", order.Kind, size, MaxOrderBytes)
	}
	return nil
}
