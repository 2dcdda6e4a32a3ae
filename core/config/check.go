package config

import (
	"fmt"
	"math"
	"regexp"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/parse"
)

// The limits of the values in a document.
const (
	maxWeight      = 1000
	maxTopUpTokens = escrow.Tokens(math.MaxInt64 / 1024)
	maxCallTokens  = escrow.Tokens(1 << 20)
	maxTimeout     = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Parse decodes and validates a document. The error is a *parse.Error that contains all
// problems with their file and line.
func Parse(file string, data []byte) (Document, error) {
	var doc Document
	ps := parse.Into(file, data, &doc)
	c := checker{ps: ps, doc: doc}
	c.services()
	c.customers()
	c.environment()
	return doc, ps.Err()
}

type checker struct {
	ps  *parse.Problems
	doc Document
}

func (c *checker) name(seen map[string]string, path, name string) {
	if !namePattern.MatchString(name) {
		c.ps.Add(path, "must be 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit, not %q", name)
		return
	}
	if first, ok := seen[name]; ok {
		c.ps.Add(path, "%q is the name of %s already", name, first)
		return
	}
	seen[name] = path
}

func (c *checker) services() {
	seen := map[string]string{}
	for i, s := range c.doc.Intent.Services {
		path := fmt.Sprintf("intent.services[%d]", i)
		c.name(seen, path+".name", s.Name)
		if s.Timeout.Std() < 0 || s.Timeout.Std() > maxTimeout {
			c.ps.Add(path+".timeout", "must be between 0s and %s", maxTimeout)
		}
		switch s.Kind {
		case KindModel:
			c.tokens(path+".max_output_tokens", s.MaxOutputTokens, 1, maxCallTokens)
		case KindPlain:
			c.tokens(path+".tokens_per_call", s.TokensPerCall, 0, maxCallTokens)
		case "":
			c.ps.Add(path, "missing \"kind\"; it must be \"model\" or \"plain\"")
		}
	}
}

func (c *checker) tokens(path string, n, low, high escrow.Tokens) {
	if n < low || n > high {
		c.ps.Add(path, "must be between %d and %d, not %d", low, high, n)
	}
}

func (c *checker) customers() {
	services := map[string]bool{}
	for _, s := range c.doc.Intent.Services {
		services[s.Name] = true
	}
	seen := map[string]string{}
	for i, cu := range c.doc.Intent.Customers {
		path := fmt.Sprintf("intent.customers[%d]", i)
		c.name(seen, path+".name", cu.Name)
		if cu.Weight < 1 || cu.Weight > maxWeight {
			c.ps.Add(path+".weight", "must be between 1 and %d, not %d", maxWeight, cu.Weight)
		}
		c.access(path, cu, services)
	}
}

func (c *checker) access(path string, cu Customer, services map[string]bool) {
	seen := map[string]bool{}
	for j, a := range cu.Services {
		sub := fmt.Sprintf("%s.services[%d].service", path, j)
		if !services[a.Service] {
			c.ps.Add(sub, "unknown service %q", a.Service)
		}
		if seen[a.Service] {
			c.ps.Add(sub, "service %q is listed twice for this customer", a.Service)
		}
		seen[a.Service] = true
	}
}

func (c *checker) environment() {
	env := c.doc.Environment
	customers := map[string]bool{}
	for _, cu := range c.doc.Intent.Customers {
		customers[cu.Name] = true
	}
	c.name(map[string]string{}, "environment.name", env.Name)
	c.customerKeys(customers)
	ids := map[string]string{}
	for i, t := range env.TopUps {
		path := fmt.Sprintf("environment.top_ups[%d]", i)
		c.name(ids, path+".id", t.ID)
		c.tokens(path+".tokens", t.Tokens, 1, maxTopUpTokens)
		if !customers[t.Customer] {
			c.ps.Add(path+".customer", "unknown customer %q", t.Customer)
		}
	}
	names := map[string]string{}
	for i, o := range env.Operators {
		path := fmt.Sprintf("environment.operators[%d]", i)
		c.name(names, path+".name", o.Name)
		if len(o.Keys) == 0 {
			c.ps.Add(path, "missing \"keys\"")
		}
	}
	if len(env.Operators) == 0 {
		c.ps.Add("environment", "missing \"operators\"; at least one is needed to change the configuration")
	}
}

func (c *checker) customerKeys(customers map[string]bool) {
	owner := map[Digest]string{}
	for name, keys := range c.doc.Environment.CustomerKeys {
		path := "environment.customer_keys." + name
		if !customers[name] {
			c.ps.Add(path, "unknown customer %q", name)
		}
		for i, k := range keys {
			if other, ok := owner[k]; ok && k != "" {
				c.ps.Add(fmt.Sprintf("%s[%d]", path, i), "the key is already in use for customer %q", other)
			}
			owner[k] = name
		}
	}
}
