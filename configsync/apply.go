package configsync

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/store"
)

// Status says how far an operator's change has come.
type Status string

// The statuses of a change that the store has taken.
const (
	// Accepted means that no node serves by an older revision from one evidence
	// window later.
	Accepted Status = "accepted"
	// Stored means that the store has the change, but that a node that is cut
	// off may still serve by an older revision.
	Stored Status = "stored, not yet in force"
)

// Result is the outcome of an operator's change that the store has taken.
type Result struct {
	Status   Status
	Revision store.Revision
	// Missing names the listed VMs that have not acknowledged the revision.
	Missing []string
}

// Apply makes the document the configuration if the current revision is still
// base, and waits until more than half of the listed VMs have it in force, at
// most for the acknowledgement window. It returns a *finding.Error if the
// document can't be used, a *config.RaceError if another change came first,
// store.ErrUnavailable if nothing was changed, and store.ErrAmbiguous if the
// outcome is unknown.
func (y *Sync) Apply(ctx context.Context, d *config.Document, base store.Revision, author string) (Result, error) {
	count(counterApplies)
	version, err := y.repository.Apply(ctx, d, base, author)
	if err != nil {
		return Result{}, err
	}
	deadline := time.Now().Add(y.members.AckWindow())
	values, err := config.Split(d)
	if err != nil {
		return Result{}, err
	}
	if err := y.install(newRevision(version.Revision, author, values)); err != nil {
		return Result{}, err
	}
	return y.confirm(ctx, version.Revision, deadline), nil
}

// confirm asks the listed VMs until more than half have the revision in force
// or the deadline has passed. An acknowledgement must not count after the
// deadline: its node may have restarted since and know nothing of it.
func (y *Sync) confirm(ctx context.Context, number store.Revision, deadline time.Time) Result {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	acks := make(chan string)
	var group errgroup.Group
	self := y.members.Self().Name
	slots := make(chan struct{}, pushConcurrency)
	for _, vm := range y.members.Listed() {
		if vm.Name != self {
			group.Go(func() error { return y.askUntilAcknowledged(ctx, vm, number, slots, acks) })
		}
	}
	go func() { _ = group.Wait(); close(acks) }()
	acked := map[string]bool{self: true}
	holds := func(name string) bool { return acked[name] }
	majority, missing := y.members.Acknowledged(holds)
	for !majority {
		name, ok := <-acks
		if !ok {
			break
		}
		acked[name] = true
		majority, missing = y.members.Acknowledged(holds)
	}
	cancel()
	for range acks { // until every question has ended
	}
	result := Result{Status: Stored, Revision: number, Missing: missing}
	if majority && time.Now().Before(deadline) {
		result.Status = Accepted
		count(counterAccepted)
	} else {
		count(counterStored)
	}
	return result
}

func (y *Sync) askUntilAcknowledged(ctx context.Context, vm membership.VM, number store.Revision, slots chan struct{}, acks chan<- string) error {
	for {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		count(counterQuestions)
		reply, err := y.pushOnce(ctx, vm, &PushRequest{Revision: number})
		<-slots
		if err == nil && reply.Revision >= number {
			select {
			case acks <- vm.Name:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if !sleep(ctx, y.settings.AckInterval) {
			return ctx.Err()
		}
	}
}
