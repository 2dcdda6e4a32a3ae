package conns

import (
	"errors"
	"io"
)

// maxBeforeResponse limits the bytes that an upstream may send before the body of its
// response begins: the head, interim responses and responses to earlier requests.
const maxBeforeResponse = 512 << 10

// errEndlessHead reports that an upstream sent maxBeforeResponse without a response.
var errEndlessHead = errors.New("no end of the response's head")

// meter reads from a connection and limits the bytes that are read while a limit is set.
type meter struct {
	r       io.Reader
	left    int
	limited bool
}

// limit limits the bytes that are read from now on.
func (m *meter) limit(n int) { m.left, m.limited = n, true }

// unlimit removes the limit.
func (m *meter) unlimit() { m.limited = false }

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if !m.limited {
		return m.r.Read(p)
	}
	if m.left <= 0 {
		return 0, errEndlessHead
	}
	n, err := m.r.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}
