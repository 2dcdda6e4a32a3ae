package sched

import "container/list"

// cache is what a node believes of the prompt parts that one engine keeps. A part
// is of use only if all parts before it are kept too. The engine drops the least
// recently used parts first, and so does the belief.
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

// prefix is the number of a prompt's first tokens that are kept.
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

// use notes that a prompt with these parts was sent to the engine.
func (c *cache) use(parts []PartKey) {
	// The first part is touched last: it is shared the most and goes last.
	for i := len(parts) - 1; i >= 0; i-- {
		c.touch(parts[i])
	}
	for c.tokens > c.capacity && c.order.Len() > len(parts) {
		c.drop(c.order.Back())
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

func (c *cache) drop(e *list.Element) {
	p := c.order.Remove(e).(cachedPart)
	delete(c.parts, p.key)
	c.tokens -= p.tokens
}
