package authority

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/boottime"
)

// Limits of the texts that a journal record holds. With one intent of the
// greatest size on each of 94 targets the record stays under a fifth of
// store.MaxValueBytes.
const (
	// MaxOrderBytes bounds Order.Kind and Order.Detail together.
	MaxOrderBytes = 1024
	// MaxTargetNameBytes bounds Target.Name.
	MaxTargetNameBytes = 128
)

// Process identifies one run of figweir.
type Process struct {
	// Incarnation is unique to the run.
	Incarnation string `json:"incarnation"`
	// Address is the VM address with the port of a listener that the process
	// has bound before it uses this package. At any time at most one process
	// can hold it, so a later incarnation at the same address proves that the
	// earlier one has ended.
	Address string `json:"address"`
}

// NewProcess returns a process with a unique incarnation.
func NewProcess(address string) Process {
	return Process{Incarnation: uuid.NewString(), Address: address}
}

// Target is a receiver of orders: an engine, the platform's ordering interface
// for a failure domain, or the billing interface for a window.
type Target struct {
	// Name is unique within a duty.
	Name string `json:"name"`
	// Generation grows whenever the target is replaced by another that orders
	// addressed to the earlier one can't reach.
	Generation uint64 `json:"generation,omitempty"`
	// ChecksTokens says that the target refuses orders whose fencing token is
	// lower than the greatest that it has seen. If unknown, it is false.
	ChecksTokens bool `json:"checks_tokens,omitempty"`
}

// Order describes an order for the journal and the operators' report. The
// order itself is sent by the caller's Send function.
type Order struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail,omitempty"`
}

// Send sends an order with its fencing token and returns nil if the target
// took it, an error made with Refused if the target certainly did not take
// this copy, and any other error if that is not known. It must end with ctx,
// and no copy of the order may reach the target later than the connection
// time-out after Send has returned.
type Send func(ctx context.Context, token uint64) error

// FenceFunc sends a target an order that does nothing but raise the greatest
// fencing token that it has seen. Its result is that of Send.
type FenceFunc func(ctx context.Context, target Target, token uint64) error

// Intent is an order that may reach its target.
type Intent struct {
	OrderID string `json:"order_id"`
	Target  Target `json:"target"`
	Order   Order  `json:"order"`
	// Number is the fencing token of the order.
	Number uint64 `json:"number"`
	// Fence says that the fencing order for the target is on its way and not
	// the order itself.
	Fence  bool    `json:"fence,omitempty"`
	Writer Process `json:"writer"`
	// OpenedUnixMillis is the wall clock of the writer. It is reported and
	// never used in a decision.
	OpenedUnixMillis int64 `json:"opened_ms"`
}

// Opened returns the time at which the writer opened the intent, by its own
// wall clock.
func (i Intent) Opened() time.Time { return time.UnixMilli(i.OpenedUnixMillis).UTC() }

// Clock is the time as one process sees it. Now must be monotonic.
type Clock interface {
	Now() time.Time
	// Sleep waits for d or until ctx ends, and returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) error { return boottime.Sleep(ctx, d) }

// VMLister reads the platform's list of VMs.
type VMLister interface {
	// Addresses returns the process addresses of the listed VMs. An error
	// means that nothing is known.
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
