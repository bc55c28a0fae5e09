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
	// maxCacheEvents limits the number of events kept. A client that is further
	// behind observes a gap in the sequence numbers.
	maxCacheEvents = 1024
	// prefillTimeout limits a prefill on another engine.
	prefillTimeout = 10 * time.Second
)

// prefixCache is a FIFO cache of the hashes of prompt blocks, with the events that
// report its changes. It is guarded by the lock of the Server.
type prefixCache struct {
	order    []uint64
	present  map[uint64]bool
	sequence uint64
	events   []client.CacheEvent
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, hash := range blocks {
		if !c.present[hash] {
			return i
		}
	}
	return len(blocks)
}

// insert caches blocks, evicts the oldest ones beyond limit and records an event if
// anything changed.
func (c *prefixCache) insert(blocks []uint64, limit int) {
	if c.present == nil {
		c.present = make(map[uint64]bool)
	}
	var event client.CacheEvent
	for _, hash := range blocks {
		if !c.present[hash] {
			c.present[hash] = true
			c.order = append(c.order, hash)
			event.Added = append(event.Added, hash)
		}
	}
	for len(c.order) > limit {
		delete(c.present, c.order[0])
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

// prefillPrompt sleeps for as long as the uncached part of a prompt takes to process,
// and caches the blocks of the prompt.
func (s *Server) prefillPrompt(promptTokens int, blocks []uint64) {
	s.mu.Lock()
	uncachedTokens := max(0, promptTokens-s.cache.match(blocks)*s.settings.KVBlockTokens)
	s.mu.Unlock()
	if tokensPerSecond := s.settings.PrefillTokensPerSecond; tokensPerSecond > 0 {
		time.Sleep(time.Duration(uncachedTokens) * time.Second / time.Duration(tokensPerSecond))
	}
	s.mu.Lock()
	s.cache.insert(blocks, s.settings.KVBlocks)
	s.mu.Unlock()
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "malformed sequence number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	dropEvery := s.faults.DropCacheEvents
	events := []client.CacheEvent{}
	for _, e := range s.cache.events {
		if e.Sequence > after && (dropEvery == 0 || e.Sequence%uint64(dropEvery) != 0) {
			events = append(events, e)
		}
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(events)
}

// handlePrefill processes a prompt for another engine. It answers when the KV cache
// is ready to be imported.
func (s *Server) handlePrefill(w http.ResponseWriter, r *http.Request) {
	req, _, ok := s.readRequest(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	refuse := s.faults.RefuseStreams || s.changingRole || s.role == config.RoleDecode
	if !refuse {
		s.prefillCount++
	}
	s.mu.Unlock()
	if refuse {
		http.Error(w, "engine takes no prompts now", http.StatusServiceUnavailable)
		return
	}
	s.prefillPrompt(countTokens(req.Messages), client.ParseBlocks(r.Header.Get(client.HeaderPrefixBlocks)))
	w.WriteHeader(http.StatusNoContent)
}

// Prefills returns the number of prompts accepted for other engines.
func (s *Server) Prefills() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefillCount
}

// importKV makes the prefill server process the prompt and reports whether it
// succeeded.
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
