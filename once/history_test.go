package once

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/figweir/figweir/once/faultstore"
)

// historySeeds are the seeds of the recorded histories.
var historySeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20}

// input is one request of a history: a claim or a settlement.
type input struct {
	claim      bool
	settlement Settlement
	key, body  int
	token      string
}

// output is what the client got. An operation without an answer may take effect
// at any later time or never.
type output struct {
	state   State
	outcome string
	err     error
}

// keyState is the sequential specification of one key. voided lists the tokens
// of released claims.
type keyState struct {
	status State // Refused stands for free, Granted for claimed
	token  string
	body   int
	voided string
}

// step returns whether the output is allowed in a state, and the next state.
func step(s keyState, in input, out output) (bool, keyState) {
	mine := s.status != Refused && s.token == in.token
	noAnswer := out.err != nil && !errors.Is(out.err, ErrNotClaimed) && !errors.Is(out.err, ErrNotRecorded)
	if in.claim {
		free := s.status == Refused && !strings.Contains(s.voided, in.token)
		claimed := keyState{status: Granted, token: in.token, body: in.body, voided: s.voided}
		switch {
		case noAnswer && free, out.state == Granted && out.err == nil && free:
			return true, claimed
		case noAnswer, out.state == Refused:
			return true, s
		case out.state == KeyReused:
			return s.status != Refused && s.body != in.body, s
		case s.body != in.body:
			return false, s
		case out.state == InProgress:
			return s.status == Granted && !mine, s
		case out.state == Done:
			return s.status == Done && (out.outcome == "" || s.token == out.outcome), s
		default:
			return s.status == out.state && (out.state == Unknown || mine), s
		}
	}
	switch {
	case errors.Is(out.err, ErrNotRecorded):
		return true, s
	case errors.Is(out.err, ErrNotClaimed) && in.settlement == Released:
		return mine && s.status != Granted, s
	case errors.Is(out.err, ErrNotClaimed):
		return !mine, s
	case in.settlement == Released:
		if mine && s.status != Granted {
			return noAnswer, s
		}
		s.voided += in.token
		if mine {
			s.status, s.token, s.body = Refused, "", 0
		}
		return true, s
	case !mine:
		return noAnswer, s
	}
	if s.status == Granted {
		s.status = map[Settlement]State{Finished: Done, Lost: Unknown}[in.settlement]
	}
	return true, s
}

var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[int][]porcupine.Operation)
		for _, o := range history {
			k := o.Input.(input).key
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(s, in, out any) (bool, any) { return step(s.(keyState), in.(input), out.(output)) },
}

// recorder keeps a history with the order of calls and returns.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *recorder) do(client int, in input, call func() output) output {
	start := r.clock.Add(1)
	out := call()
	end := r.clock.Add(1)
	if out.err != nil && !errors.Is(out.err, ErrNotClaimed) && !errors.Is(out.err, ErrNotRecorded) {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: start, Output: out, Return: end})
	return out
}

// historyClient claims and settles through any writer.
func historyClient(c *cluster, r *recorder, client int, rng *rand.Rand) {
	handle := func(k Key) Handle {
		from, to := c.at(client%len(c.nodes)), c.at(rng.IntN(len(c.nodes)))
		return &link{from: from, to: to, rng: RangeOf(k, c.cfg.Ranges)}
	}
	settle := func(in input, token Token) {
		key := testKey(in.key)
		request := FinishRequest{Range: RangeOf(key, c.cfg.Ranges), Key: key, Token: token, Settlement: in.settlement}
		if in.settlement == Finished {
			o := NewOutcome(200, "", []byte(in.token))
			request.Outcome = &o
		}
		for range 8 {
			out := r.do(client, in, func() output {
				ctx, cancel := timed()
				defer cancel()
				return output{err: handle(key).Finish(ctx, request)}
			})
			if out.err == nil || errors.Is(out.err, ErrNotClaimed) {
				return
			}
		}
	}
	for range 24 {
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		token := NewToken()
		in := input{claim: true, key: rng.IntN(10), body: rng.IntN(8) / 7, token: token.String()}
		key := testKey(in.key)
		out := r.do(client, in, func() output {
			ctx, cancel := timed()
			defer cancel()
			a, err := handle(key).Claim(ctx, ClaimRequest{
				Range: RangeOf(key, c.cfg.Ranges), Key: key, BodyDigest: testBody(in.body), Owner: fmt.Sprint(client), Token: token,
			})
			o := output{state: a.State, err: err}
			if a.Outcome != nil {
				o.outcome = string(a.Outcome.Body)
			}
			return o
		})
		in.claim = false
		switch {
		case out.err != nil:
			in.settlement = Released
			settle(in, token)
		case out.state == Granted:
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			in.settlement = []Settlement{Released, Released, Released, Finished, Lost}[rng.IntN(5)]
			settle(in, token)
		}
	}
}

// TestHistories guards against answers that no order of the requests explains:
// an outdated answer by a writer that is behind, a claim or settlement that is
// lost or takes effect twice, or a "not recorded" that is recorded after all.
func TestHistories(t *testing.T) {
	faults := faultstore.All[:6] // without kills
	for _, seed := range historySeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var r recorder
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(3)
				rng := rand.New(rand.NewPCG(seed, 0))
				for _, n := range c.nodes {
					var atStore, atLink []faultstore.Fault
					for range 4000 {
						atStore = append(atStore, slices.Concat(make([]faultstore.Fault, 9*len(faults)), faults)[rng.IntN(10*len(faults))])
						atLink = append(atLink, slices.Concat(make([]faultstore.Fault, 9*4), faults[:4])[rng.IntN(10*4)])
					}
					n.store.Set(atStore...)
					n.link.Set(atLink...)
				}
				var clients sync.WaitGroup
				for client := range 6 {
					clients.Go(func() { historyClient(c, &r, client, rand.New(rand.NewPCG(seed, uint64(client+1)))) })
				}
				ticker := time.NewTicker(2 * time.Second)
				go func() {
					for range ticker.C {
						for _, n := range c.nodes {
							n.Resume()
						}
						select {
						case <-c.ended:
							return
						default:
						}
					}
				}()
				clients.Wait()
				c.close()
				time.Sleep(time.Minute)
				ticker.Stop()
			})
			is.New(t).Equal(porcupine.CheckOperationsTimeout(keyModel, r.ops, 0), porcupine.Ok)
		})
	}
}
