package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the assumed average length of a token, in bytes.
const bytesPerToken = 4

// Tokens estimates the number of tokens of a prompt.
func Tokens(prompt []byte) int {
	return len(prompt)/bytesPerToken + 1
}

// Blocks returns the chained hashes of a prompt's complete blocks. Each hash also covers
// the blocks before it, so equal hashes mean equal prefixes.
func Blocks(prompt []byte, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	out := make([]uint64, 0, len(prompt)/size)
	var prev [8]byte
	var d xxhash.Digest
	for len(prompt) >= size {
		d.Reset()
		_, _ = d.Write(prev[:])
		_, _ = d.Write(prompt[:size])
		h := d.Sum64()
		binary.LittleEndian.PutUint64(prev[:], h)
		out = append(out, h)
		prompt = prompt[size:]
	}
	return out
}
