// Package model implements a discrete-event simulation of one engine: continuous
// batching, a limited number of KV blocks, a prefix cache, and role changes that
// take the engine out of service for seconds. The caller passes the time to every
// method, so that the simulation can run in virtual time as well as in real time.
package model

import (
	"errors"
	"slices"
	"time"

	"github.com/figweir/figweir/config"
)

// Config holds the performance figures and limits of a simulated engine.
type Config struct {
	// PrefillTokensPerSecond is the number of prompt tokens processed per second.
	PrefillTokensPerSecond float64
	// A decode step takes BaseStepSeconds plus StepSecondsPerStream for each
	// stream in the batch.
	BaseStepSeconds, StepSecondsPerStream float64
	// TargetStepSeconds limits the prompt chunk of a step that also decodes, so
	// that the step does not take longer than this. MinChunkTokens takes
	// precedence.
	TargetStepSeconds float64
	// MaxChunkTokens is the largest prompt chunk of a step. MinChunkTokens is the
	// smallest, so that prompts make progress even with a full decode batch.
	MaxChunkTokens, MinChunkTokens int
	// KVBlocks is the size of the KV cache in blocks of BlockTokens tokens.
	KVBlocks, BlockTokens int
	// MaxStreams limits the number of jobs that run at the same time.
	MaxStreams int
	// RoleChangeTime is how long a role change takes the engine out of service.
	RoleChangeTime time.Duration
}

// DefaultConfig describes the engines of the two deployments: 4,000 KV blocks, and
// a step time of 30 ms with 36 streams.
var DefaultConfig = Config{
	PrefillTokensPerSecond: 8000, BaseStepSeconds: 0.012, StepSecondsPerStream: 0.0005, TargetStepSeconds: 0.030,
	MaxChunkTokens: 1024, MinChunkTokens: 32, KVBlocks: 4000, BlockTokens: 16, MaxStreams: 64, RoleChangeTime: 8 * time.Second,
}

// Job is a request, or the prefill or decode part of a request that two engines
// share.
type Job struct {
	ID           uint64
	PromptTokens int
	OutputTokens int
	// Prefix holds the hashes of the prompt's full KV blocks. Each hash depends on
	// the blocks before it.
	Prefix []uint64
	// PrefillOnly is set for jobs that end when the prompt is processed. Their KV
	// cache is exported to a decode engine.
	PrefillOnly bool
	// Imported is set for jobs whose prompt was processed by another engine, so
	// that they start with the KV cache of the prompt.
	Imported bool
}

// EventKind distinguishes the events of a job.
type EventKind int

// Kinds of events.
const (
	// Token reports that a token was generated. Event.Tokens is its number, from 1.
	Token EventKind = iota
	// Prefilled reports that a PrefillOnly job has ended.
	Prefilled
	// Done reports that a job has ended; it follows the event of the last token.
	Done
	// Aborted reports that a job was lost because the engine stopped.
	Aborted
)

// Event reports progress or the end of a job. Tokens is the number of tokens
// generated so far. At counts from the start of the simulation.
type Event struct {
	JobID  uint64
	Kind   EventKind
	Tokens int
	At     time.Duration
}

// Observer receives the events of an engine in order of time. Its methods must not
// call the engine.
type Observer interface {
	OnJobEvent(Event)
	// OnCacheEvent receives the hashes of the blocks that were cached and evicted.
	OnCacheEvent(at time.Duration, added, evicted []uint64)
}

// Errors of Engine.Submit and Engine.ChangeRole.
var (
	ErrOutOfService = errors.New("model: the engine is out of service")
	ErrTooLarge     = errors.New("model: the job needs more KV blocks than the engine has")
	ErrBusy         = errors.New("model: the engine has jobs")
	ErrWrongRole    = errors.New("model: the role of the engine doesn't allow the job")
)

// Load is the outstanding work of an engine: jobs, prompt tokens to process and
// tokens to generate. KVBlocks is the number of blocks that running jobs occupy.
type Load struct {
	Streams       int
	PrefillTokens int
	DecodeTokens  int
	KVBlocks      int
}

type stream struct {
	job              Job
	blocks           int
	promptTokensLeft int // not yet processed
	generated        int
}

// Engine simulates one engine. Times are durations since the start of the
// simulation and must not decrease from call to call. It is not safe for
// concurrent use.
type Engine struct {
	config   Config
	role     config.Role
	observer Observer

	waiting    []*stream
	running    []*stream
	usedBlocks int
	cache      *prefixCache

	stepRunning       bool
	stepEnd           time.Duration
	promptChunkTokens int
	// decodeBatchSize is the number of jobs that get a token from the current step.
	decodeBatchSize   int
	outOfServiceUntil time.Duration
	stopped           bool

	// prefilledTokens and generatedTokens are totals since the start.
	prefilledTokens, generatedTokens int
}

// New returns an engine without jobs and with an empty cache.
func New(c Config, role config.Role, observer Observer) *Engine {
	return &Engine{config: c, role: role, observer: observer, cache: newPrefixCache()}
}

// Role returns the role of the engine. During a role change it is the new role.
func (e *Engine) Role() config.Role { return e.role }

// InService reports whether the engine accepts jobs, which it doesn't during a role
// change and after Stop.
func (e *Engine) InService(now time.Duration) bool { return !e.stopped && now >= e.outOfServiceUntil }

// Busy reports whether the engine has waiting or running jobs.
func (e *Engine) Busy() bool { return len(e.waiting)+len(e.running) > 0 }

// ProcessedTokens returns the numbers of prompt tokens processed and of tokens
// generated since the start.
func (e *Engine) ProcessedTokens() (prefilled, generated int) {
	return e.prefilledTokens, e.generatedTokens
}

// Load returns the current load of waiting and running jobs.
func (e *Engine) Load() Load {
	l := Load{KVBlocks: e.usedBlocks}
	for _, list := range [][]*stream{e.waiting, e.running} {
		for _, s := range list {
			l.Streams++
			if !s.job.PrefillOnly {
				l.DecodeTokens += s.job.OutputTokens - s.generated
			}
			l.PrefillTokens += s.promptTokensLeft
		}
	}
	return l
}

// Submit queues a job. Jobs start in order of submission, as soon as there are
// enough free KV blocks and a free place in the batch. Submit returns
// ErrOutOfService, ErrWrongRole or ErrTooLarge if the engine can't run the job.
func (e *Engine) Submit(now time.Duration, j Job) error {
	if !e.InService(now) {
		return ErrOutOfService
	}
	if (e.role == config.RolePrefill && !j.PrefillOnly) || (e.role == config.RoleDecode && !j.Imported) {
		return ErrWrongRole
	}
	s := &stream{job: j, promptTokensLeft: j.PromptTokens}
	tokens := j.PromptTokens + j.OutputTokens
	if j.PrefillOnly {
		tokens = j.PromptTokens
	}
	s.blocks = (tokens + e.config.BlockTokens - 1) / e.config.BlockTokens
	if s.blocks > e.config.KVBlocks {
		return ErrTooLarge
	}
	if j.Imported {
		s.promptTokensLeft = 0
	}
	e.waiting = append(e.waiting, s)
	e.startStep(now)
	return nil
}

// Cancel ends a job. The observer gets no further events of it.
func (e *Engine) Cancel(now time.Duration, id uint64) {
	hasID := func(s *stream) bool { return s.job.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, hasID)
	for _, s := range e.running {
		if hasID(s) {
			e.usedBlocks -= s.blocks
		}
	}
	e.running = slices.DeleteFunc(e.running, hasID)
}

// ChangeRole starts a role change, which empties the prefix cache. It returns
// ErrBusy if the engine has jobs, and ErrOutOfService if it is changing its role
// already or is stopped.
func (e *Engine) ChangeRole(now time.Duration, role config.Role) error {
	if !e.InService(now) {
		return ErrOutOfService
	}
	if e.Busy() {
		return ErrBusy
	}
	e.role, e.outOfServiceUntil = role, now+e.config.RoleChangeTime
	if evicted := e.cache.evictTo(0); len(evicted) > 0 {
		e.observer.OnCacheEvent(now, nil, evicted)
	}
	return nil
}

// Stop ends the engine immediately. Its jobs end with an Aborted event.
func (e *Engine) Stop(now time.Duration) {
	jobs := append(e.waiting, e.running...)
	e.waiting, e.running, e.usedBlocks, e.stepRunning, e.stopped = nil, nil, 0, false, true
	for _, s := range jobs {
		e.observer.OnJobEvent(Event{JobID: s.job.ID, Kind: Aborted, Tokens: s.generated, At: now})
	}
}

// NextStepEnd returns the time at which the current step ends and Advance is to be
// called. It returns false if no step is running.
func (e *Engine) NextStepEnd() (time.Duration, bool) { return e.stepEnd, e.stepRunning }

// Advance runs the simulation up to now: it finishes all steps that end at or before
// now and starts the ones that follow.
func (e *Engine) Advance(now time.Duration) {
	for e.stepRunning && e.stepEnd <= now {
		at := e.stepEnd
		e.stepRunning = false
		e.finishStep(at)
		e.startStep(at)
	}
}

// startStep starts the next step if there are jobs and no step is running.
func (e *Engine) startStep(now time.Duration) {
	if e.stepRunning {
		return
	}
	e.admit(now)
	e.decodeBatchSize, e.promptChunkTokens = 0, 0
	pendingPrompt := 0
	for _, s := range e.running {
		if s.promptTokensLeft > 0 {
			pendingPrompt += s.promptTokensLeft
		} else {
			e.decodeBatchSize++
		}
	}
	if len(e.running) == 0 {
		return
	}
	stepSeconds := 0.0
	budget := e.config.MaxChunkTokens
	if e.decodeBatchSize > 0 {
		stepSeconds = e.config.BaseStepSeconds + e.config.StepSecondsPerStream*float64(e.decodeBatchSize)
		spareTokens := int((e.config.TargetStepSeconds - stepSeconds) * e.config.PrefillTokensPerSecond)
		budget = min(budget, max(e.config.MinChunkTokens, spareTokens))
	}
	e.promptChunkTokens = min(pendingPrompt, budget)
	stepSeconds += float64(e.promptChunkTokens) / e.config.PrefillTokensPerSecond
	e.stepRunning, e.stepEnd = true, now+max(time.Microsecond, time.Duration(stepSeconds*float64(time.Second)))
}

// admit moves waiting jobs into the batch, in order, while there are enough free KV
// blocks.
func (e *Engine) admit(now time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxStreams {
		s := e.waiting[0]
		if e.usedBlocks+s.blocks > e.config.KVBlocks {
			return
		}
		e.waiting = e.waiting[1:]
		e.usedBlocks += s.blocks
		if s.promptTokensLeft > 0 {
			// At least one prompt token is processed even if all blocks are cached,
			// to compute the logits of the first output token.
			s.promptTokensLeft = max(1, s.promptTokensLeft-e.cache.match(s.job.Prefix)*e.config.BlockTokens)
		}
		e.running = append(e.running, s)
		e.evictExcessBlocks(now)
	}
}

func (e *Engine) evictExcessBlocks(now time.Duration) {
	if evicted := e.cache.evictTo(e.config.KVBlocks - e.usedBlocks); len(evicted) > 0 {
		e.observer.OnCacheEvent(now, nil, evicted)
	}
}

// finishStep applies the results of a step: each job of the decode batch gets a
// token, and the prompt chunk is assigned to the prompts in order of admission.
func (e *Engine) finishStep(now time.Duration) {
	budget := e.promptChunkTokens
	remaining := e.running[:0]
	for _, s := range e.running {
		if s.promptTokensLeft > 0 {
			part := min(budget, s.promptTokensLeft)
			budget -= part
			s.promptTokensLeft -= part
			e.prefilledTokens += part
			if s.promptTokensLeft == 0 && part > 0 {
				e.cachePrompt(now, s)
				if s.job.PrefillOnly {
					e.usedBlocks -= s.blocks
					e.observer.OnJobEvent(Event{JobID: s.job.ID, Kind: Prefilled, At: now})
					continue
				}
				// Processing the last prompt token generates the first output token.
				if e.emitToken(now, s) {
					continue
				}
			}
		} else if e.emitToken(now, s) {
			continue
		}
		remaining = append(remaining, s)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

func (e *Engine) cachePrompt(now time.Duration, s *stream) {
	if added := e.cache.insert(s.job.Prefix); len(added) > 0 {
		e.observer.OnCacheEvent(now, added, nil)
		e.evictExcessBlocks(now)
	}
}

// emitToken generates a token and reports whether it was the last one.
func (e *Engine) emitToken(now time.Duration, s *stream) bool {
	s.generated++
	e.generatedTokens++
	e.observer.OnJobEvent(Event{JobID: s.job.ID, Kind: Token, Tokens: s.generated, At: now})
	if s.generated < s.job.OutputTokens {
		return false
	}
	e.usedBlocks -= s.blocks
	e.observer.OnJobEvent(Event{JobID: s.job.ID, Kind: Done, Tokens: s.generated, At: now})
	return true
}
