package model_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine/model"
)

func init() {
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.checks", "300")
}

// recorder checks the order of events.
type recorder struct {
	t      testing.TB
	at     time.Duration
	tokens map[uint64]int
	ended  map[uint64]model.EventKind
	events []model.Event
}

func newRecorder(t testing.TB) *recorder {
	return &recorder{t: t, tokens: make(map[uint64]int), ended: make(map[uint64]model.EventKind)}
}

func (r *recorder) JobEvent(e model.Event) {
	r.events = append(r.events, e)
	if e.At < r.at {
		r.t.Fatalf("event at %s after one at %s", e.At, r.at)
	}
	r.at = e.At
	if _, ended := r.ended[e.Job]; ended {
		r.t.Fatalf("job %d has an event after its end: %+v", e.Job, e)
	}
	if e.Kind != model.Token {
		r.ended[e.Job] = e.Kind
		return
	}
	r.tokens[e.Job]++
	if e.Tokens != r.tokens[e.Job] {
		r.t.Fatalf("job %d: token %d follows %d", e.Job, e.Tokens, r.tokens[e.Job]-1)
	}
}

func (r *recorder) CacheEvent(time.Duration, []uint64, []uint64) {}

// run advances an engine until it has nothing to do.
func run(e *model.Engine) {
	for at, ok := e.Next(); ok; at, ok = e.Next() {
		e.Advance(at)
	}
}

// TestEveryJobEndsOnce guards against a model that loses or repeats tokens or
// jobs, or hands out more KV blocks than the engine has.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := model.DefaultConfig
		c.KVBlocks = rapid.IntRange(20, 200).Draw(rt, "blocks")
		role := rapid.SampledFrom([]config.Role{config.RoleMixed, config.RolePrefill, config.RoleDecode}).Draw(rt, "role")
		r := newRecorder(t)
		e := model.New(c, role, r)
		jobs, canceled := make(map[uint64]model.Job), make(map[uint64]bool)
		now := time.Duration(0)
		for id := range uint64(rapid.IntRange(1, 40).Draw(rt, "steps")) {
			now += time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond
			e.Advance(now)
			j := model.Job{
				ID: id, PromptTokens: rapid.IntRange(1, 1500).Draw(rt, "prompt"), OutputTokens: rapid.IntRange(1, 40).Draw(rt, "output"),
				Prefix: []uint64{rapid.Uint64Range(1, 3).Draw(rt, "prefix")}, PrefillOnly: role == config.RolePrefill, Imported: role == config.RoleDecode,
			}
			if e.Submit(now, j) == nil {
				jobs[id] = j
			}
			if rapid.IntRange(0, 9).Draw(rt, "cancel") == 0 {
				if _, ended := r.ended[id]; !ended {
					e.Cancel(now, id)
					canceled[id] = true
				}
			}
			if used := e.Load().KVBlocks; used > c.KVBlocks {
				rt.Fatalf("%d of %d KV blocks in use", used, c.KVBlocks)
			}
		}
		if rapid.Bool().Draw(rt, "stop") {
			e.Stop(now)
		}
		run(e)
		for id, j := range jobs {
			kind, ended := r.ended[id]
			switch {
			case canceled[id]:
			case !ended:
				rt.Fatalf("job %+v has no end", j)
			case kind == model.Done && r.tokens[id] != j.OutputTokens:
				rt.Fatalf("job %+v ended with %d tokens", j, r.tokens[id])
			case kind == model.Prefilled && role != config.RolePrefill:
				rt.Fatalf("job %+v ended as prefilled", j)
			}
		}
		if e.Load() != (model.Load{}) {
			rt.Fatalf("load %+v at the end", e.Load())
		}
	})
}

// TestCachedPrefixIsNotProcessedAgain guards against a model without a prefix
// cache, under which prefix affinity could not be measured.
func TestCachedPrefixIsNotProcessedAgain(t *testing.T) {
	is := is.New(t)
	r := newRecorder(t)
	e := model.New(model.DefaultConfig, config.RoleMixed, r)
	var prefix []uint64
	for i := range 100 {
		prefix = append(prefix, uint64(i)+1)
	}
	for id := range uint64(2) {
		is.NoErr(e.Submit(r.at, model.Job{ID: id, PromptTokens: 1600, OutputTokens: 1, Prefix: prefix}))
		run(e)
	}
	is.Equal(r.events[0].At, 200*time.Millisecond)
	is.True(r.events[2].At-r.events[1].At < time.Millisecond)
}

// TestRoleChangeTakesEngineOut guards against role changes that cost nothing.
func TestRoleChangeTakesEngineOut(t *testing.T) {
	is := is.New(t)
	r := newRecorder(t)
	e := model.New(model.DefaultConfig, config.RoleMixed, r)
	is.NoErr(e.Submit(0, model.Job{ID: 1, PromptTokens: 100, OutputTokens: 2}))
	is.Equal(e.ChangeRole(0, config.RoleDecode), model.ErrBusy)
	run(e)
	is.NoErr(e.ChangeRole(time.Second, config.RoleDecode))
	job := model.Job{ID: 2, PromptTokens: 100, OutputTokens: 2, Imported: true}
	is.Equal(e.Submit(8*time.Second, job), model.ErrOutOfService)
	is.NoErr(e.Submit(9*time.Second, job))
	is.Equal(e.Submit(9*time.Second, model.Job{ID: 3, PromptTokens: 100, OutputTokens: 2}), model.ErrWrongRole)
}

// TestBatchSlowsSteps guards against a model in which the time between tokens
// doesn't depend on the number of streams.
func TestBatchSlowsSteps(t *testing.T) {
	is := is.New(t)
	r := newRecorder(t)
	e := model.New(model.DefaultConfig, config.RoleDecode, r)
	for id := range uint64(36) {
		is.NoErr(e.Submit(0, model.Job{ID: id, PromptTokens: 16, OutputTokens: 3, Imported: true}))
	}
	run(e)
	// Only the first job was there when the first step began, so that it ends
	// one step before the others: 1, 36, 36 and 35 streams.
	is.Equal(r.at, 12500*time.Microsecond+2*30*time.Millisecond+29500*time.Microsecond)
}
