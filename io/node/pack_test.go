package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// routes returns a policy of n routes, similar to a real one in length and repetition.
func routes(n int) []byte {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, `{"name":"r-%06x","host":"h%d.example","path_prefix":"/p%x/","kind":"stream","timeout_ms":6000,"split":[{"service":"s-%d","weight":90}],"attempts":1},`,
			i*7919, i%9, i*104729, i%5)
	}
	return []byte(b.String())
}

// 16 nodes that start together request the policy from the leader. With 2,000 routes, the
// transfers must not fill a link of 100 Mbit/s for longer than a fifth of the 2.5 s in
// which a change must be in force.
func TestPackedPolicyFitsTheLink(t *testing.T) {
	is := is.New(t)
	data := routes(2000)
	packed, err := pack(data)
	is.NoErr(err)
	const nodes, bytesPerSecond, share = 16, 100e6 / 8, 0.5
	is.True(float64(nodes*len(data)) > share*bytesPerSecond/2)
	is.True(float64(nodes*len(packed)) < share*bytesPerSecond/2)
	got, err := unpack(packed)
	is.NoErr(err)
	is.True(bytes.Equal(got, data))
}

func TestPackAny(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		packed, err := pack(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := unpack(packed)
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("got %v, %v", got, err)
		}
		at := rapid.IntRange(0, len(packed)-1).Draw(t, "cut")
		if _, err := unpack(packed[:at]); err == nil {
			t.Fatalf("%d of %d bytes were unpacked to a policy", at, len(packed))
		}
	})
}
