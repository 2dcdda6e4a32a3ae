package route

// blockCache remembers which prompt blocks an upstream has seen lately. It is a
// ring: the oldest block is forgotten first, as in the engine's own cache.
type blockCache struct {
	known map[uint64]int
	ring  []uint64
	next  int
	size  int
}

func newBlockCache(size int) blockCache {
	return blockCache{known: map[uint64]int{}, size: size}
}

// prefix is the number of leading blocks that are known.
func (c *blockCache) prefix(blocks []uint64) int {
	for i, b := range blocks {
		if c.known[b] == 0 {
			return i
		}
	}
	return len(blocks)
}

func (c *blockCache) add(blocks []uint64) {
	for _, b := range blocks {
		if c.known[b] > 0 {
			continue
		}
		c.insert(b)
	}
}

func (c *blockCache) insert(b uint64) {
	if len(c.ring) < c.size {
		c.ring = append(c.ring, b)
	} else {
		c.remove(c.ring[c.next])
		c.ring[c.next] = b
		c.next = (c.next + 1) % len(c.ring)
	}
	c.known[b]++
}

// remove forgets a block that the engine has evicted.
func (c *blockCache) remove(b uint64) {
	if c.known[b] <= 1 {
		delete(c.known, b)
		return
	}
	c.known[b]--
}
