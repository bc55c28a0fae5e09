package model

import (
	"container/list"
	"slices"
)

// prefixCache is an LRU cache of the hashes of prompt blocks.
type prefixCache struct {
	lru      *list.List // of uint64, most recently used first
	elements map[uint64]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{lru: list.New(), elements: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached, and marks them as
// recently used.
func (c *prefixCache) match(prefix []uint64) int {
	n := 0
	for n < len(prefix) && c.elements[prefix[n]] != nil {
		n++
	}
	// The blocks are marked from last to first, so that a block is evicted before
	// the blocks that it depends on.
	for _, hash := range slices.Backward(prefix[:n]) {
		c.lru.MoveToFront(c.elements[hash])
	}
	return n
}

// insert caches the blocks and returns those that were not cached before.
func (c *prefixCache) insert(prefix []uint64) []uint64 {
	var added []uint64
	for _, hash := range slices.Backward(prefix) {
		if e := c.elements[hash]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.elements[hash] = c.lru.PushFront(hash)
		added = append(added, hash)
	}
	return added
}

// evictTo evicts the least recently used blocks until at most limit are cached, and
// returns the evicted ones.
func (c *prefixCache) evictTo(limit int) []uint64 {
	var evicted []uint64
	for c.lru.Len() > max(0, limit) {
		hash := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.elements, hash)
		evicted = append(evicted, hash)
	}
	return evicted
}
