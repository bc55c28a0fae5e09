package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/figweir/figweir/config"
	client "github.com/figweir/figweir/engine"
)

const (
	// maxCacheEvents bounds the events kept; a client that is further behind
	// sees a gap.
	maxCacheEvents = 1024
	// prefillTimeout bounds a prefill on another engine.
	prefillTimeout = 10 * time.Second
)

// prefixCache holds the prefix blocks of an engine, the oldest first. Its
// fields are guarded by the engine's lock.
type prefixCache struct {
	order    []uint64
	held     map[uint64]bool
	sequence uint64
	events   []client.CacheEvent
}

// cached returns how many of the leading blocks are held.
func (c *prefixCache) cached(blocks []uint64) int {
	for i, hash := range blocks {
		if !c.held[hash] {
			return i
		}
	}
	return len(blocks)
}

// add stores blocks, evicts the oldest beyond limit and records an event.
func (c *prefixCache) add(blocks []uint64, limit int) {
	if c.held == nil {
		c.held = make(map[uint64]bool)
	}
	var event client.CacheEvent
	for _, hash := range blocks {
		if !c.held[hash] {
			c.held[hash] = true
			c.order = append(c.order, hash)
			event.Added = append(event.Added, hash)
		}
	}
	for len(c.order) > limit {
		delete(c.held, c.order[0])
		event.Removed = append(event.Removed, c.order[0])
		c.order = c.order[1:]
	}
	if len(event.Added)+len(event.Removed) == 0 {
		return
	}
	c.sequence++
	event.Sequence = c.sequence
	c.events = append(c.events, event)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// process takes the time that the uncached part of a prompt needs, and caches
// its blocks.
func (s *Server) process(prompt int, blocks []uint64) {
	s.mu.Lock()
	left := max(0, prompt-s.cache.cached(blocks)*s.settings.KVBlockTokens)
	s.mu.Unlock()
	if speed := s.settings.PrefillTokensPerSecond; speed > 0 {
		time.Sleep(time.Duration(left) * time.Second / time.Duration(speed))
	}
	s.mu.Lock()
	s.cache.add(blocks, s.settings.KVBlocks)
	s.mu.Unlock()
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "malformed sequence number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	drop := s.faults.DropCacheEvents
	events := []client.CacheEvent{}
	for _, e := range s.cache.events {
		if e.Sequence > after && (drop == 0 || e.Sequence%uint64(drop) != 0) {
			events = append(events, e)
		}
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(events)
}

// prefill processes a prompt for another engine, which then imports the KV cache.
func (s *Server) prefill(w http.ResponseWriter, r *http.Request) {
	req, _, ok := s.readRequest(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	refuse := s.faults.RefuseStreams || s.away || s.role == config.RoleDecode
	if !refuse {
		s.prefills++
	}
	s.mu.Unlock()
	if refuse {
		http.Error(w, "engine takes no prompts now", http.StatusServiceUnavailable)
		return
	}
	s.process(countTokens(req.Messages), client.ParseBlocks(r.Header.Get(client.HeaderPrefixBlocks)))
	w.WriteHeader(http.StatusNoContent)
}

// Prefills returns how many prompts were processed for other engines.
func (s *Server) Prefills() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefills
}

// importKV has another engine process the prompt and reports whether it did.
func (st *stream) importKV() bool {
	httpClient := &http.Client{Timeout: prefillTimeout}
	req, err := http.NewRequest(http.MethodPost, "http://"+st.prefillServer+"/v1/prefill", bytes.NewReader(st.body))
	if err != nil {
		return false
	}
	req.Header.Set(client.HeaderPrefixBlocks, client.FormatBlocks(st.blocks))
	resp, err := httpClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}
