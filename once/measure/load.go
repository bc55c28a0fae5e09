package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/figweir/figweir/once"
	"github.com/figweir/figweir/standin/memstore"
)

// loadCommand populates one range with its share of the claims, all finished,
// and measures how a new writer loads it.
type loadCommand struct {
	Claims []int    `default:"10000,100000,1000000" help:"Claims kept in all ranges."`
	Ranges []uint32 `default:"16,64" help:"Hash ranges."`
}

// Run prints one table row for each combination of ranges and claims.
func (c *loadCommand) Run(o *options) error {
	fmt.Println("| ranges | claims kept | of them in the range | segments | load ms | index bytes a claim | index KB of the range | stored bytes a claim | head bytes |")
	fmt.Println("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, ranges := range c.Ranges {
		for _, claims := range c.Claims {
			if err := c.measure(o, ranges, claims); err != nil {
				return err
			}
		}
	}
	return nil
}

// randomKey returns a random key in range 0.
func randomKey(rng *rand.Rand, ranges uint32) once.Key {
	var k once.Key
	binary.BigEndian.PutUint64(k[:8], rng.Uint64()/uint64(ranges)*uint64(ranges))
	binary.BigEndian.PutUint64(k[8:], rng.Uint64())
	return k
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (c *loadCommand) measure(o *options, ranges uint32, claims int) error {
	mem := memstore.New()
	config := once.DefaultConfig()
	config.Ranges, config.MinCommitInterval = ranges, 0
	share := claims / int(ranges)
	if err := populate(mem, config, share); err != nil {
		return err
	}
	entries, _, err := mem.List(context.Background(), "once/0/")
	if err != nil {
		return err
	}
	stored, head := 0, 0
	for _, e := range entries {
		stored += len(e.Value)
		if e.Key == "once/0/head" {
			head = len(e.Value)
		}
	}
	segments := len(entries) - 1
	entries = nil
	rng := rand.New(rand.NewPCG(2, 2))
	before := heapBytes()
	writer := once.StartWriter(newSlowStore(mem, o), 0, config, nil, allAlive{})
	defer writer.Close()
	start := time.Now()
	// The claim gets its response from the first commit, after the range is loaded.
	response, err := writer.Claim(context.Background(), newClaimRequest(randomKey(rng, ranges)))
	elapsed := time.Since(start) - o.Delay
	if err != nil || response.State != once.Granted {
		return fmt.Errorf("first claim after loading the range: %v, %v", response.State, err)
	}
	index := int64(heapBytes()) - int64(before)
	fmt.Printf("| %d | %d | %d | %d | %.0f | %d | %d | %d | %d |\n", ranges, claims, share, segments,
		elapsed.Seconds()*1000, index/int64(share), index/1024, stored/share, head)
	return nil
}

func newClaimRequest(key once.Key) once.ClaimRequest {
	return once.ClaimRequest{Key: key, Owner: "10.0.0.1:7001/6f1e0d6c", Token: once.NewToken()}
}

// populate records count finished claims in range 0.
func populate(mem *memstore.Store, config once.Config, count int) error {
	writer := once.StartWriter(mem, 0, config, nil, allAlive{})
	defer writer.Close()
	rng := rand.New(rand.NewPCG(1, 1))
	const group = 512
	for done := 0; done < count; done += group {
		var wait sync.WaitGroup
		errs := make(chan error, group)
		for range min(group, count-done) {
			request := newClaimRequest(randomKey(rng, config.Ranges))
			wait.Go(func() {
				response, err := writer.Claim(context.Background(), request)
				if err == nil && response.State == once.Granted {
					outcome := once.NewOutcome(200, "application/json", make([]byte, 100))
					err = writer.Finish(context.Background(), once.FinishRequest{
						Key: request.Key, Token: request.Token, Settlement: once.Finished, Outcome: &outcome,
					})
				}
				errs <- err
			})
		}
		wait.Wait()
		for range min(group, count-done) {
			if err := <-errs; err != nil {
				return err
			}
		}
	}
	return nil
}
