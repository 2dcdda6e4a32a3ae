package node

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/gravitational/trace"
)

// maxPolicy bounds the size of an unpacked policy, in bytes.
const maxPolicy = 64 << 20

// pack compresses a policy for the log, the snapshots and the transfer to other nodes,
// since after a start all nodes request it from one leader concurrently.
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

// unpack decompresses a policy to its published form.
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
		return nil, trace.LimitExceeded("the unpacked policy exceeds %d bytes", maxPolicy)
	}
	return data, nil
}
