package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Item is one named part of the configuration, in canonical JSON.
type Item struct {
	Key string `cbor:"1,keyasint" json:"key"`
	// Value is nil for a deleted item.
	Value []byte `cbor:"2,keyasint" json:"value"`
	// Version is the version of the configuration that last changed the item.
	Version uint64 `cbor:"3,keyasint" json:"version"`
}

// The prefixes of item keys, and the key of the environment's name.
const (
	prefixCustomer = "customer/"
	prefixService  = "service/"
	prefixKeys     = "keys/"
	prefixTopUp    = "top_up/"
	prefixOperator = "operator/"
	keyEnvironment = "environment"
)

// Split returns the items of a document.
func Split(doc Document) map[string][]byte {
	items := map[string][]byte{keyEnvironment: encode(doc.Environment.Name)}
	for _, c := range doc.Intent.Customers {
		items[prefixCustomer+c.Name] = encode(c)
	}
	for _, s := range doc.Intent.Services {
		items[prefixService+s.Name] = encode(s)
	}
	for name, keys := range doc.Environment.CustomerKeys {
		items[prefixKeys+name] = encode(keys)
	}
	for _, t := range doc.Environment.TopUps {
		items[prefixTopUp+t.ID] = encode(t)
	}
	for _, o := range doc.Environment.Operators {
		items[prefixOperator+o.Name] = encode(o)
	}
	return items
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("config: failed to encode a document type: %v", err))
	}
	return data
}

// Join returns the document that consists of the items. Its lists are sorted by item key.
func Join(items map[string][]byte) (Document, error) {
	doc := Document{Environment: Environment{CustomerKeys: map[string][]Digest{}}}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if err := joinItem(&doc, key, items[key]); err != nil {
			return Document{}, &ItemError{Key: key, Err: err}
		}
	}
	return doc, nil
}

func joinItem(doc *Document, key string, value []byte) error {
	kind, name, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case prefixCustomer:
		return decodeTo(&doc.Intent.Customers, value)
	case prefixService:
		return decodeTo(&doc.Intent.Services, value)
	case prefixTopUp:
		return decodeTo(&doc.Environment.TopUps, value)
	case prefixOperator:
		return decodeTo(&doc.Environment.Operators, value)
	case prefixKeys:
		var keys []Digest
		err := json.Unmarshal(value, &keys)
		doc.Environment.CustomerKeys[name] = keys
		return err
	}
	return json.Unmarshal(value, &doc.Environment.Name)
}

func decodeTo[T any](list *[]T, value []byte) error {
	var v T
	err := json.Unmarshal(value, &v)
	*list = append(*list, v)
	return err
}

// ItemError is returned if an item can't be decoded.
type ItemError struct {
	Key string
	Err error
}

// Error implements error.
func (e *ItemError) Error() string {
	return fmt.Sprintf("item %q: %v", e.Key, e.Err)
}

// Unwrap returns the decoder's error.
func (e *ItemError) Unwrap() error { return e.Err }

// Fingerprint returns a digest of all items, by which two processes can tell whether they
// have the same configuration.
func Fingerprint(items map[string][]byte) uint64 {
	var sum uint64
	for k, v := range items {
		sum += fingerprintItem(k, v)
	}
	return sum
}

// fingerprintItem returns the digest of one item. A fingerprint is the sum over all items,
// so that a change needs to hash only the items that it touches.
func fingerprintItem(key string, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(value)
	return d.Sum64()
}

// Change is the difference between two sets of items.
type Change struct {
	Put    map[string][]byte `cbor:"put" json:"put"`
	Delete []string          `cbor:"delete" json:"delete"`
}

// Empty reports whether the change contains no items.
func (c Change) Empty() bool {
	return len(c.Put) == 0 && len(c.Delete) == 0
}

// Diff returns the change that turns old into next.
func Diff(old, next map[string][]byte) Change {
	c := Change{Put: map[string][]byte{}}
	for k, v := range next {
		if string(old[k]) != string(v) {
			c.Put[k] = v
		}
	}
	for _, k := range slices.Sorted(maps.Keys(old)) {
		if _, ok := next[k]; !ok {
			c.Delete = append(c.Delete, k)
		}
	}
	return c
}
