package route

// blockCache records the prompt blocks that an upstream has seen recently. It is a ring
// buffer: the oldest block is evicted first, as in the engine's own cache.
type blockCache struct {
	counts map[uint64]int
	ring   []uint64
	next   int
	size   int
}

func newBlockCache(size int) blockCache {
	return blockCache{counts: map[uint64]int{}, size: size}
}

// prefix returns the number of leading blocks that are cached.
func (c *blockCache) prefix(blocks []uint64) int {
	for i, b := range blocks {
		if c.counts[b] == 0 {
			return i
		}
	}
	return len(blocks)
}

func (c *blockCache) add(blocks []uint64) {
	for _, b := range blocks {
		if c.counts[b] > 0 {
			continue
		}
		c.insert(b)
	}
}

func (c *blockCache) insert(b uint64) {
	if len(c.ring) < c.size {
		c.ring = append(c.ring, b)
	} else {
		c.evict(c.ring[c.next])
		c.ring[c.next] = b
		c.next = (c.next + 1) % len(c.ring)
	}
	c.counts[b]++
}

// evict removes the oldest block, which the engine is assumed to have evicted too.
func (c *blockCache) evict(b uint64) {
	if c.counts[b] <= 1 {
		delete(c.counts, b)
		return
	}
	c.counts[b]--
}
