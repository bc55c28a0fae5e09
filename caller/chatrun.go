package caller

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/quarantine"
	"github.com/figweir/figweir/tcpstate"
)

const (
	// maxResumes limits how often one attempt is resumed without progress.
	maxResumes = 3
	// refusalBackoff is the pause after the first refusal before the next engine is
	// tried. It doubles with each attempt. Without it, engines that change their
	// roles at the same time would use up all attempts within a millisecond.
	refusalBackoff = 5 * time.Millisecond
	// refreshTimeout limits the wait for new load reports after a refusal.
	refreshTimeout = 100 * time.Millisecond
	// cancelTimeout limits the call that cancels an attempt on its engine.
	cancelTimeout = time.Second
)

// errDiverged means that a re-run generated different tokens than those that were
// sent to the caller.
var errDiverged = errors.New("caller: re-run generated different tokens than those sent")

// chatRun runs one chat request in one or more attempts.
type chatRun struct {
	handler   *Handler
	session   *session
	pool      *config.Pool
	info      RequestInfo
	body      []byte
	writer    answerWriter
	admission Admission

	// refusedBy names the engines that refused the request, in order. failedOn
	// names those that failed otherwise.
	refusedBy, failedOn []string
	// sentHashes holds the hash of each chunk sent to the caller, by offset.
	sentHashes []uint64
	// mayHaveRun is set once an engine may have started the request.
	mayHaveRun bool
	// refusingSince is when the node began to refuse new requests; zero if it
	// accepts them.
	refusingSince time.Time
	firstToken    time.Duration // time from the request to the first token
	lastTokenAt   time.Time
	slowGaps      int

	// parts are the prompt parts that other requests may share.
	parts []string
	// trial is set if the request may be sent once although its parts are suspected.
	trial bool
	// watch is told what arrives of the answer of the current attempt.
	watch *quarantine.Attempt
}

// execute tries engines until the answer is complete, the attempts or the retry
// budget are used up, or the error does not allow a retry.
func (c *chatRun) execute(ctx context.Context) {
	var lastErr error
	for n := 1; n <= c.handler.options.MaxAttempts; n++ {
		if n > 1 && !c.handler.Admitter.Retry(c.info.Service) {
			break
		}
		if errors.Is(lastErr, engine.ErrRefused) {
			c.waitAfterRefusal(ctx, n-1)
		}
		if err := tcpstate.CheckPeer(ctx); err != nil {
			lastErr = err
			break
		}
		if err := c.checkQuarantine(); err != nil {
			lastErr = err
			break
		}
		target, err := c.pickEngine()
		if err != nil {
			if lastErr == nil {
				lastErr = err
			}
			break
		}
		lastErr = c.watchAttempt(ctx, target, n)
		target.Release()
		if lastErr == nil {
			c.succeed()
			return
		}
		if !retryable(ctx, lastErr) {
			break
		}
		if errors.Is(lastErr, engine.ErrRefused) {
			c.refusedBy = append(c.refusedBy, target.Name)
		} else {
			c.failedOn = append(c.failedOn, target.Name)
		}
	}
	c.fail(ctx, lastErr)
}

// pickEngine picks an engine that was not tried. If there is none, it picks one
// that refused the request before the last refusal, since that engine may accept
// it by now.
func (c *chatRun) pickEngine() (Target, error) {
	c.info.Exclude = slices.Concat(c.failedOn, c.refusedBy)
	target, err := c.handler.Router.Pick(c.pool, c.info)
	if err == nil || len(c.refusedBy) < 2 {
		return target, err
	}
	c.info.Exclude = slices.Concat(c.failedOn, c.refusedBy[len(c.refusedBy)-1:])
	return c.handler.Router.Pick(c.pool, c.info)
}

// waitAfterRefusal waits after the nth attempt, which was refused, until the load
// reports are refreshed and the backoff has passed.
func (c *chatRun) waitAfterRefusal(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	c.handler.Router.RefreshLoads(ctx)
	select {
	case <-time.After(refusalBackoff << (n - 1)):
	case <-ctx.Done():
	}
}

// retryable reports whether another engine may be tried.
func retryable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errDiverged) || errors.Is(err, tcpstate.ErrPeerClosed) {
		return false
	}
	var refused *engine.RefusedError
	if errors.As(err, &refused) && refused.Status < 500 && refused.Status != 429 {
		return false
	}
	return errors.Is(err, errQuarantined) || errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrRefused) ||
		errors.Is(err, engine.ErrTruncated) || errors.Is(err, engine.ErrStreamUnknown)
}

// runAttempt runs the request on one engine and resumes the stream if it is
// interrupted.
func (c *chatRun) runAttempt(ctx context.Context, target Target, n int) error {
	h := c.handler
	a := engine.Attempt{
		Request: c.session.id, ID: c.session.id + "." + strconv.Itoa(n), Body: c.body,
		PrefillServer: target.PrefillAddress, PrefixBlocks: c.info.PrefixBlocks,
	}
	log := c.session.log.WithValues(logging.AttemptKey, a.ID, logging.BackendServerKey, target.Name, logging.FailureDomainKey, target.FailureDomain)
	h.Metrics.AttemptsTotal.Add(1)
	if n > 1 {
		h.Metrics.RerunsTotal.Add(1)
	}
	stream, err := h.Engines.Stream(ctx, target.Address, a)
	offset := 0
	for resumes := 0; ; resumes++ {
		if err == nil {
			c.mayHaveRun = true
			before := offset
			err = c.relayStream(ctx, stream, target)
			offset = stream.Offset()
			stream.Close()
			c.countDropped(stream.Dropped)
			if offset > before {
				resumes = 0
			}
		} else if !engine.ProvesNotRun(err) {
			c.mayHaveRun = true
		}
		if err == nil {
			return nil
		}
		log.Info("attempt interrupted", "offset", offset, "error", err.Error())
		if !errors.Is(err, engine.ErrTruncated) || offset == 0 || resumes >= maxResumes || ctx.Err() != nil {
			c.cancelAttempt(target, a.ID)
			return err
		}
		h.Metrics.ResumesTotal.Add(1)
		stream, err = h.Engines.Resume(ctx, target.Address, a, offset)
	}
}

// relayStream sends the chunks of a stream to the caller until the end of the stream.
func (c *chatRun) relayStream(ctx context.Context, stream *engine.Stream, target Target) error {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			c.watch.Completed(time.Now())
			return c.finishAnswer(ctx, stream.Usage())
		}
		if err != nil {
			return err
		}
		if err := c.checkStream(time.Now()); err != nil {
			return err
		}
		if chunk.HasFinishReason() {
			c.writer.setFinish(chunk)
			continue
		}
		c.watch.Arrived(time.Now())
		if err := c.deliverChunk(chunk); err != nil {
			return err
		}
		target.TokensReceived(1)
	}
}

// checkStream returns an error if the stream must end: if the key was withdrawn,
// or if the node has been unable to check that for longer than RefusingGrace. A
// shorter partition of the node interrupts no stream.
func (c *chatRun) checkStream(now time.Time) error {
	if err := c.handler.recheckKey(c.session); err != nil {
		return err
	}
	err := c.handler.Gate.Check()
	switch {
	case err == nil:
		c.refusingSince = time.Time{}
	case c.refusingSince.IsZero():
		c.refusingSince = now
	case now.Sub(c.refusingSince) > c.handler.options.RefusingGrace:
		return apierr.Wrap(err, apierr.Unavailable, "this node can no longer tell whether the key is valid", apierr.RetryAfter(unavailableRetryAfter))
	}
	return nil
}

// deliverChunk sends one content chunk to the caller. A chunk that an earlier attempt
// has sent is only compared; if it differs, the error is errDiverged.
func (c *chatRun) deliverChunk(chunk engine.Chunk) error {
	hash := xxhash.Sum64String(chunk.Text())
	if chunk.Offset < len(c.sentHashes) {
		if c.sentHashes[chunk.Offset] != hash {
			return errDiverged
		}
		return nil
	}
	now := time.Now()
	if len(c.sentHashes) == 0 {
		c.firstToken = now.Sub(c.session.startedAt)
		c.admission.FirstToken()
	} else if now.Sub(c.lastTokenAt).Seconds() > c.session.snapshot.Document.Objectives.BetweenTokensSeconds {
		c.slowGaps++
	}
	c.lastTokenAt = now
	c.sentHashes = append(c.sentHashes, hash)
	return c.writer.writeChunk(chunk)
}

// finishAnswer sends the end of the answer. It counts the usage before, so that the
// usage of a complete answer survives the loss of this node.
func (c *chatRun) finishAnswer(ctx context.Context, usage *engine.Usage) error {
	if usage == nil {
		usage = &engine.Usage{PromptTokens: c.info.PromptTokens, CompletionTokens: len(c.sentHashes)}
	}
	c.handler.Meter.Count(ctx, c.info.Workspace, 1, usage.PromptTokens, usage.CompletionTokens)
	return c.writer.end(*usage)
}

// succeed records a complete answer.
func (c *chatRun) succeed() {
	c.handler.Metrics.RequestsCompleteTotal.Add(1)
	c.observe(true, "")
	c.session.log.Info("request served", "model", c.info.Service, "tokens", len(c.sentHashes),
		"first_token_s", c.firstToken.Seconds(), "duration_s", time.Since(c.session.startedAt).Seconds())
}

// fail records a failed request and sends the error to the caller.
func (c *chatRun) fail(ctx context.Context, err error) {
	cause := err
	if apierr.CodeOf(err) == apierr.Internal {
		err = c.callerError(ctx, err)
	}
	detail := apierr.Describe(err)
	c.session.log.Info("request failed", "code", detail.Code, "not_run", detail.NotRun, "sent", len(c.sentHashes), "error", cause.Error())
	if c.writer.started() {
		c.handler.Metrics.RequestsCutTotal.Add(1)
	} else {
		c.handler.Metrics.RefusalsTotal.Add(string(detail.Code), 1)
	}
	c.observe(false, detail.Code)
	c.writer.fail(err)
}

// callerError converts an error of an attempt to an error for the caller. It is
// marked as not run if no engine can have started the request.
func (c *chatRun) callerError(ctx context.Context, err error) error {
	options := []apierr.Option{apierr.RetryAfter(unavailableRetryAfter)}
	if !c.mayHaveRun {
		options = append(options, apierr.NotRun())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierr.Wrap(err, apierr.DeadlineExceeded, "the answer was not whole in time", options...)
	}
	var refused *engine.RefusedError
	if errors.As(err, &refused) && refused.Status < 500 && refused.Status != 429 {
		return apierr.Wrap(err, apierr.BadRequest, "the engine refused the request: "+refused.Reason, options[1:]...)
	}
	return apierr.Wrap(err, apierr.UpstreamFailed, "no engine gave a whole answer", options...)
}

// observe reports the result to the observer.
func (c *chatRun) observe(complete bool, code apierr.Code) {
	c.handler.Observer.Observe(Observation{
		Workspace: c.info.Workspace, Service: c.info.Service, Complete: complete, Code: code,
		FirstToken: c.firstToken, Gaps: max(0, len(c.sentHashes)-1), SlowGaps: c.slowGaps, At: time.Now(),
	})
}

// cancelAttempt cancels an attempt on its engine, so that the engine stops
// generating. It does not wait for the call.
func (c *chatRun) cancelAttempt(target Target, attempt string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = c.handler.Engines.Cancel(ctx, target.Address, attempt)
	}()
}

// countDropped adds the dropped chunks of a stream to the metrics.
func (c *chatRun) countDropped(d engine.Dropped) {
	m := c.handler.Metrics.ChunksDroppedTotal
	if d.Crossed > 0 {
		m.Add("crossed", int64(d.Crossed))
	}
	if d.Late > 0 {
		m.Add("late", int64(d.Late))
	}
	if d.Malformed > 0 {
		m.Add("malformed", int64(d.Malformed))
	}
}
