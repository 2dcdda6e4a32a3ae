package sched

import "container/list"

// cache estimates which prompt parts an engine has cached. A part can be reused only
// if all parts before it are cached too. The engine evicts the least recently used
// parts first, and so does this model of it.
type cache struct {
	capacity int
	tokens   int
	order    *list.List // most recently used first
	parts    map[uint64]*list.Element
}

type cachedPart struct {
	key    uint64
	tokens int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), parts: map[uint64]*list.Element{}}
}

// prefix returns the number of tokens in the longest cached prefix of a prompt.
func (c *cache) prefix(parts []PartKey) int {
	sum := 0
	for _, p := range parts {
		if _, ok := c.parts[p.Key]; !ok {
			return sum
		}
		sum += p.Tokens
	}
	return sum
}

// use records that a prompt with these parts was sent to the engine.
func (c *cache) use(parts []PartKey) {
	// Touch the first part last: it is shared the most and must be evicted last.
	for i := len(parts) - 1; i >= 0; i-- {
		c.touch(parts[i])
	}
	for c.tokens > c.capacity && c.order.Len() > len(parts) {
		c.evict(c.order.Back())
	}
}

func (c *cache) touch(p PartKey) {
	if e, ok := c.parts[p.Key]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.parts[p.Key] = c.order.PushFront(cachedPart{p.Key, p.Tokens})
	c.tokens += p.Tokens
}

func (c *cache) evict(e *list.Element) {
	p := c.order.Remove(e).(cachedPart)
	delete(c.parts, p.key)
	c.tokens -= p.tokens
}
