// Package model models one engine as a discrete-event machine: continuous
// batching, bounded KV blocks, a prefix cache, and role changes that take it out
// of service for seconds. It reads no clock, so that it runs in virtual time or
// behind an HTTP server that advances it with a real one.
package model

import (
	"errors"
	"slices"
	"time"

	"github.com/figweir/figweir/config"
)

// Config describes an engine.
type Config struct {
	// PrefillTokensPerSecond is the rate of prompt processing.
	PrefillTokensPerSecond float64
	// StepSeconds and StepSecondsPerStream make up the time of a decode step.
	StepSeconds, StepSecondsPerStream float64
	// StepTargetSeconds bounds the prompt chunk that a step with a decode batch
	// takes: the step shall not exceed it.
	StepTargetSeconds float64
	// ChunkTokens is the largest prompt chunk of a step, and MinChunkTokens the
	// smallest, so that prompts go on under a full batch.
	ChunkTokens, MinChunkTokens int
	KVBlocks, BlockTokens       int
	// MaxStreams bounds the batch.
	MaxStreams int
	// RoleChange is how long a role change takes the engine out of service.
	RoleChange time.Duration
}

// DefaultConfig is an engine of the two deployments: 4,000 KV blocks, and 36
// streams at 30 ms a step.
var DefaultConfig = Config{
	PrefillTokensPerSecond: 8000, StepSeconds: 0.012, StepSecondsPerStream: 0.0005, StepTargetSeconds: 0.030,
	ChunkTokens: 1024, MinChunkTokens: 32, KVBlocks: 4000, BlockTokens: 16, MaxStreams: 64, RoleChange: 8 * time.Second,
}

// Job is one request, or the prefill or decode half of one.
type Job struct {
	ID           uint64
	PromptTokens int
	OutputTokens int
	// Prefix holds the chained hashes of the full prompt blocks.
	Prefix []uint64
	// PrefillOnly jobs end with the prompt; their KV cache is exported.
	PrefillOnly bool
	// Imported jobs start with the KV cache of their prompt.
	Imported bool
}

// EventKind is the kind of an event.
type EventKind int

// The kinds of event.
const (
	// Token is a generated token; Event.Tokens counts from 1.
	Token EventKind = iota
	// Prefilled is the end of a PrefillOnly job.
	Prefilled
	// Done follows the last token.
	Done
	// Cut is the end of a job that the engine has lost by stopping.
	Cut
)

// Event is what happened to a job.
type Event struct {
	Job    uint64
	Kind   EventKind
	Tokens int
	At     time.Duration
}

// Observer receives the events of an engine in order. It must not call the
// engine.
type Observer interface {
	JobEvent(Event)
	// CacheEvent reports blocks that were cached and evicted.
	CacheEvent(at time.Duration, added, evicted []uint64)
}

// Errors of Engine.Submit and Engine.ChangeRole.
var (
	ErrOutOfService = errors.New("model: the engine is out of service")
	ErrTooLarge     = errors.New("model: the job needs more KV blocks than the engine has")
	ErrBusy         = errors.New("model: the engine has jobs")
	ErrWrongRole    = errors.New("model: the role of the engine doesn't allow the job")
)

// Load is what an engine reports.
type Load struct {
	Streams       int
	PrefillTokens int
	DecodeTokens  int
	KVBlocks      int
}

type stream struct {
	job     Job
	blocks  int
	left    int // prompt tokens to process
	emitted int
}

// Engine is one engine. Times are durations since the start of the model and
// must not decrease from call to call. It is not safe for concurrent use.
type Engine struct {
	config   Config
	role     config.Role
	observer Observer

	waiting []*stream
	running []*stream
	used    int
	cache   *prefixCache

	stepping bool
	stepEnds time.Duration
	chunk    int
	// decoding is the number of streams of the present step.
	decoding  int
	downUntil time.Duration
	stopped   bool

	// prefilled and generated count the tokens processed.
	prefilled, generated int
}

// New returns an empty engine.
func New(c Config, role config.Role, observer Observer) *Engine {
	return &Engine{config: c, role: role, observer: observer, cache: newPrefixCache()}
}

// Role returns the role, which is the new one during a change.
func (e *Engine) Role() config.Role { return e.role }

// InService reports whether the engine takes jobs.
func (e *Engine) InService(now time.Duration) bool { return !e.stopped && now >= e.downUntil }

// Busy reports whether the engine has jobs.
func (e *Engine) Busy() bool { return len(e.waiting)+len(e.running) > 0 }

// Processed returns the prompt tokens processed and the tokens generated so far.
func (e *Engine) Processed() (prefilled, generated int) { return e.prefilled, e.generated }

// Load returns the present load. Streams counts waiting jobs as well.
func (e *Engine) Load() Load {
	l := Load{KVBlocks: e.used}
	for _, list := range [][]*stream{e.waiting, e.running} {
		for _, s := range list {
			l.Streams++
			if !s.job.PrefillOnly {
				l.DecodeTokens += s.job.OutputTokens - s.emitted
			}
			l.PrefillTokens += s.left
		}
	}
	return l
}

// Submit adds a job. It starts as soon as there are KV blocks for it.
func (e *Engine) Submit(now time.Duration, j Job) error {
	if !e.InService(now) {
		return ErrOutOfService
	}
	if (e.role == config.RolePrefill && !j.PrefillOnly) || (e.role == config.RoleDecode && !j.Imported) {
		return ErrWrongRole
	}
	s := &stream{job: j, left: j.PromptTokens}
	tokens := j.PromptTokens + j.OutputTokens
	if j.PrefillOnly {
		tokens = j.PromptTokens
	}
	s.blocks = (tokens + e.config.BlockTokens - 1) / e.config.BlockTokens
	if s.blocks > e.config.KVBlocks {
		return ErrTooLarge
	}
	if j.Imported {
		s.left = 0
	}
	e.waiting = append(e.waiting, s)
	e.startStep(now)
	return nil
}

// Cancel ends a job without further events.
func (e *Engine) Cancel(now time.Duration, id uint64) {
	is := func(s *stream) bool { return s.job.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	for _, s := range e.running {
		if is(s) {
			e.used -= s.blocks
		}
	}
	e.running = slices.DeleteFunc(e.running, is)
}

// ChangeRole starts a role change. The engine must be empty; it loses its cache.
func (e *Engine) ChangeRole(now time.Duration, role config.Role) error {
	if !e.InService(now) {
		return ErrOutOfService
	}
	if e.Busy() {
		return ErrBusy
	}
	e.role, e.downUntil = role, now+e.config.RoleChange
	if evicted := e.cache.shrink(0); len(evicted) > 0 {
		e.observer.CacheEvent(now, nil, evicted)
	}
	return nil
}

// Stop ends the engine at once. Jobs in progress end with Cut.
func (e *Engine) Stop(now time.Duration) {
	jobs := append(e.waiting, e.running...)
	e.waiting, e.running, e.used, e.stepping, e.stopped = nil, nil, 0, false, true
	for _, s := range jobs {
		e.observer.JobEvent(Event{Job: s.job.ID, Kind: Cut, Tokens: s.emitted, At: now})
	}
}

// Next returns the time at which Advance has something to do, if any.
func (e *Engine) Next() (time.Duration, bool) { return e.stepEnds, e.stepping }

// Advance runs all steps that end at or before now.
func (e *Engine) Advance(now time.Duration) {
	for e.stepping && e.stepEnds <= now {
		at := e.stepEnds
		e.stepping = false
		e.finishStep(at)
		e.startStep(at)
	}
}

// startStep begins the next step if there is work and none is in progress.
func (e *Engine) startStep(now time.Duration) {
	if e.stepping {
		return
	}
	e.admit(now)
	e.decoding, e.chunk = 0, 0
	prompts := 0
	for _, s := range e.running {
		if s.left > 0 {
			prompts += s.left
		} else {
			e.decoding++
		}
	}
	if len(e.running) == 0 {
		return
	}
	step := 0.0
	budget := e.config.ChunkTokens
	if e.decoding > 0 {
		step = e.config.StepSeconds + e.config.StepSecondsPerStream*float64(e.decoding)
		spare := int((e.config.StepTargetSeconds - step) * e.config.PrefillTokensPerSecond)
		budget = min(budget, max(e.config.MinChunkTokens, spare))
	}
	e.chunk = min(prompts, budget)
	step += float64(e.chunk) / e.config.PrefillTokensPerSecond
	e.stepping, e.stepEnds = true, now+max(time.Microsecond, time.Duration(step*float64(time.Second)))
}

// admit moves waiting jobs into the batch while there are KV blocks.
func (e *Engine) admit(now time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxStreams {
		s := e.waiting[0]
		if e.used+s.blocks > e.config.KVBlocks {
			return
		}
		e.waiting = e.waiting[1:]
		e.used += s.blocks
		if s.left > 0 {
			// One token is always processed, for the logits of the first one.
			s.left = max(1, s.left-e.cache.match(s.job.Prefix)*e.config.BlockTokens)
		}
		e.running = append(e.running, s)
		e.shrinkCache(now)
	}
}

func (e *Engine) shrinkCache(now time.Duration) {
	if evicted := e.cache.shrink(e.config.KVBlocks - e.used); len(evicted) > 0 {
		e.observer.CacheEvent(now, nil, evicted)
	}
}

// finishStep gives every stream of the decode batch a token and processes the
// prompt chunk, oldest first.
func (e *Engine) finishStep(now time.Duration) {
	chunk := e.chunk
	kept := e.running[:0]
	for _, s := range e.running {
		if s.left > 0 {
			part := min(chunk, s.left)
			chunk -= part
			s.left -= part
			e.prefilled += part
			if s.left == 0 && part > 0 {
				e.cachePrompt(now, s)
				if s.job.PrefillOnly {
					e.used -= s.blocks
					e.observer.JobEvent(Event{Job: s.job.ID, Kind: Prefilled, At: now})
					continue
				}
				// The end of the prompt yields the first token.
				if e.emit(now, s) {
					continue
				}
			}
		} else if e.emit(now, s) {
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) cachePrompt(now time.Duration, s *stream) {
	if added := e.cache.add(s.job.Prefix); len(added) > 0 {
		e.observer.CacheEvent(now, added, nil)
		e.shrinkCache(now)
	}
}

// emit generates a token and reports whether it was the last one.
func (e *Engine) emit(now time.Duration, s *stream) bool {
	s.emitted++
	e.generated++
	e.observer.JobEvent(Event{Job: s.job.ID, Kind: Token, Tokens: s.emitted, At: now})
	if s.emitted < s.job.OutputTokens {
		return false
	}
	e.used -= s.blocks
	e.observer.JobEvent(Event{Job: s.job.ID, Kind: Done, Tokens: s.emitted, At: now})
	return true
}
