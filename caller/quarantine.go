package caller

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/quarantine"
)

// errQuarantined cancels an attempt whose messages became suspected of crashing engines
// before the answer began.
var errQuarantined = errors.New("the prompt has messages that crash engines")

// sharedParts returns the prompt parts that other requests may share: the hash of each
// message but the last.
func sharedParts(req *chatRequest) []string {
	var messages []json.RawMessage
	if json.Unmarshal(req.Messages, &messages) != nil || len(messages) < 2 {
		return nil
	}
	parts := make([]string, 0, len(messages)-1)
	for _, m := range messages[:len(messages)-1] {
		parts = append(parts, strconv.FormatUint(xxhash.Sum64(m), 16))
	}
	return parts
}

// checkQuarantine returns the error for the caller if the request must not be sent.
func (c *chatRun) checkQuarantine() error {
	if c.trial {
		return nil
	}
	verdict := c.handler.Quarantine.Check(time.Now(), c.parts)
	c.trial = verdict.Trial
	if !verdict.Blocked {
		return nil
	}
	options := []apierr.Option{apierr.RetryAfter(verdict.RetryAfter)}
	if !c.mayHaveRun {
		options = append(options, apierr.NotRun())
	}
	return apierr.Wrap(errQuarantined, apierr.PromptQuarantined, "messages of the prompt crash engines", options...)
}

// watchAttempt runs an attempt that is canceled if its messages become suspected before the
// answer begins.
func (c *chatRun) watchAttempt(ctx context.Context, target Target, n int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch, ok := c.handler.Quarantine.Start(c.parts, c.trial, func() { cancel(errQuarantined) })
	if !ok {
		return errQuarantined
	}
	defer watch.End()
	c.watch, c.trial = watch, false
	err := c.runAttempt(ctx, target, n)
	if err != nil && errors.Is(context.Cause(ctx), errQuarantined) {
		return errQuarantined
	}
	if errors.Is(err, engine.ErrTruncated) && ctx.Err() == nil && !watch.IsProven() {
		c.reportLoss(target)
	}
	return err
}

// reportLoss finds out, in the background, whether the engine of an attempt that was lost
// before its answer had proved the messages sound has crashed. That is evidence against them.
func (c *chatRun) reportLoss(target Target) {
	if len(c.parts) == 0 {
		return
	}
	loss := quarantine.Evidence{
		Request: xxhash.Sum64String(c.session.id), Server: xxhash.Sum64String(target.Name), Parts: c.parts, At: time.Now(),
	}
	h, log := c.handler, c.session.log
	go func() {
		if h.Engines.Crashed(target.Address) {
			log.Info("server crashed before its answer", logging.BackendServerKey, target.Name, logging.FailureDomainKey, target.FailureDomain)
			h.Quarantine.Crash(time.Now(), loss)
		}
	}()
}
