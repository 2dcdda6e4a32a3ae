package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/tailscale/hujson"
)

// Promote returns a document with the intent block of from and the environment block of to,
// both copied byte for byte, including comments. digest is the SHA-256 digest of the intent
// block.
func Promote(fromFile string, from []byte, toFile string, to []byte) (text []byte, digest string, err error) {
	if _, err := Parse(fromFile, from); err != nil {
		return nil, "", err
	}
	if _, err := Parse(toFile, to); err != nil {
		return nil, "", err
	}
	intent, err := block(from, "intent")
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", fromFile, err)
	}
	environment, err := block(to, "environment")
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", toFile, err)
	}
	var buf bytes.Buffer
	buf.WriteString("{\n  \"intent\": ")
	buf.Write(intent)
	buf.WriteString(",\n  \"environment\": ")
	buf.Write(environment)
	buf.WriteString("\n}\n")
	if _, err := Parse(toFile+" with the intent of "+fromFile, buf.Bytes()); err != nil {
		return nil, "", err
	}
	sum := sha256.Sum256(intent)
	return buf.Bytes(), hex.EncodeToString(sum[:]), nil
}

// block returns the value of a top-level key as it is written in a document.
func block(data []byte, key string) ([]byte, error) {
	v, err := hujson.Parse(data)
	if err != nil {
		return nil, err
	}
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil, fmt.Errorf("the document is not an object")
	}
	for _, m := range obj.Members {
		if m.Name.Value.(hujson.Literal).String() == key {
			return data[m.Value.StartOffset:m.Value.EndOffset], nil
		}
	}
	return nil, fmt.Errorf("the document has no %q", key)
}
