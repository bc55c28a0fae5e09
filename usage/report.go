package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/figweir/figweir/billing"
)

// BillingTarget returns the name of the target that the report of one window of
// one shard is sent to. Every window is a target of its own.
func BillingTarget(shard uint32, window int64) string {
	return fmt.Sprintf("billing/%d/%d", shard, window)
}

// reportAll reports all sealed windows whose report is not confirmed, the
// oldest first. A window that can't be reported doesn't delay the others,
// because each window is a separate target. After billing.ErrUnavailable, the
// remaining windows are left to the next step.
func (o *Owner) reportAll(ctx context.Context, now time.Time) error {
	var errs []error
	for _, window := range slices.Sorted(maps.Keys(o.unreported)) {
		if err := o.report(ctx, window, now); err != nil {
			errs = append(errs, fmt.Errorf("report window %d of shard %d: %w", window, o.options.Shard, err))
			if errors.Is(err, billing.ErrUnavailable) {
				break
			}
		}
		o.trimRecords()
	}
	return errors.Join(errs...)
}

// report reports one window and marks it as reported.
func (o *Owner) report(ctx context.Context, window int64, now time.Time) error {
	record, err := o.readRecord(ctx, window)
	if err != nil {
		return err
	}
	report := record.Report()
	err = o.options.FencedSender.Do(ctx, BillingTarget(o.options.Shard, window), report.ID, func(ctx context.Context, token uint64) error {
		return o.options.Reporter.Report(ctx, token, report)
	})
	if err != nil {
		return err
	}
	delete(o.unreported, window)
	o.reported[window] = true
	late := now.After(time.Unix(window+o.windowSeconds(), 0).Add(o.options.Grace + o.options.LateAfter))
	o.updateStats(func(s *OwnerStats) {
		s.Reported++
		if late {
			s.LateReports++
		}
	})
	return nil
}
