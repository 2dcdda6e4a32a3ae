package node

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/gravitational/trace"
)

// maxPolicy bounds a policy that is unpacked, in bytes.
const maxPolicy = 64 << 20

// pack compresses a policy for the log, the snapshots and the way to the other nodes:
// after a start all of them ask one leader for it at once.
func pack(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

// unpack returns a policy as it was published.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxPolicy+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(data) > maxPolicy {
		return nil, trace.LimitExceeded("a policy of more than %d bytes", maxPolicy)
	}
	return data, nil
}
