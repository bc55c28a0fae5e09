package model

import (
	"container/list"
	"slices"
)

// prefixCache holds the hashes of cached prompt blocks, least recently used
// first to go.
type prefixCache struct {
	order  *list.List // of uint64, most recently used first
	blocks map[uint64]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns how many leading blocks are cached, and marks them as used.
func (c *prefixCache) match(prefix []uint64) int {
	n := 0
	for n < len(prefix) && c.blocks[prefix[n]] != nil {
		n++
	}
	// The last block is marked first, so that it goes before those that it
	// depends on.
	for _, hash := range slices.Backward(prefix[:n]) {
		c.order.MoveToFront(c.blocks[hash])
	}
	return n
}

// add caches the blocks and returns those that are new.
func (c *prefixCache) add(prefix []uint64) []uint64 {
	var added []uint64
	for _, hash := range slices.Backward(prefix) {
		if e := c.blocks[hash]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		added = append(added, hash)
	}
	return added
}

// shrink evicts blocks until at most limit are cached, and returns them.
func (c *prefixCache) shrink(limit int) []uint64 {
	var evicted []uint64
	for c.order.Len() > max(0, limit) {
		hash := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, hash)
		evicted = append(evicted, hash)
	}
	return evicted
}
