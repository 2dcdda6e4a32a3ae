package agent

import (
	"encoding/gob"
	"net/http"
	"time"

	"dotterelgap/core/runs"
	"dotterelgap/io/wire"
)

// maxDispatch bounds the size of a dispatch, in bytes.
const maxDispatch = 64 << 20

// serveRun admits a dispatch and streams the run's response to the entry.
func (a *Agent) serveRun(w http.ResponseWriter, r *http.Request) {
	var d wire.Dispatch
	if err := gob.NewDecoder(http.MaxBytesReader(w, r.Body, maxDispatch)).Decode(&d); err != nil {
		http.Error(w, "dispatch cannot be decoded", http.StatusBadRequest)
		return
	}
	out := &pieceWriter{w: w, enc: gob.NewEncoder(w), key: d.Key, attempt: d.Attempt}
	res, refusal := a.admit(d)
	if refusal != nil {
		out.write(*refusal)
		return
	}
	a.follow(r, res, d.Offset, out)
}

// follow sends the response from an offset on, until the response or the request
// ends.
func (a *Agent) follow(r *http.Request, res *response, offset int64, out *pieceWriter) {
	sentHead := false
	for {
		s := res.at(offset)
		if s.head != nil && !sentHead {
			sentHead = true
			out.write(*s.head)
		}
		if len(s.data) > 0 {
			out.write(wire.Piece{Kind: wire.PieceData, Offset: offset, Data: s.data})
			offset += int64(len(s.data))
		}
		if s.end != nil {
			end := *s.end
			end.Load = a.currentLoad()
			out.write(end)
			return
		}
		if out.err != nil {
			return
		}
		out.flush()
		select {
		case <-r.Context().Done():
			return
		case <-s.changed:
		}
	}
}

func (a *Agent) currentLoad() wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load()
}

// pieceWriter sets the key and attempt of pieces and sends them.
type pieceWriter struct {
	w       http.ResponseWriter
	enc     *gob.Encoder
	key     string
	attempt int
	err     error
}

func (p *pieceWriter) write(piece wire.Piece) {
	if p.err != nil {
		return
	}
	piece.Key = p.key
	if piece.Attempt == 0 {
		piece.Attempt = p.attempt
	}
	p.err = p.enc.Encode(&piece)
}

func (p *pieceWriter) flush() {
	if f, ok := p.w.(http.Flusher); ok {
		f.Flush()
	}
}

// admit starts a run, attaches to an existing one, or returns the refusal.
func (a *Agent) admit(d wire.Dispatch) (*response, *wire.Piece) {
	if d.Agent != a.deps.Node.ID {
		return nil, &wire.Piece{Kind: wire.PieceRefused, Code: wire.CodeAgentRestarted}
	}
	id := runs.ID{Customer: d.Customer, Key: d.Key}
	a.mu.Lock()
	defer a.mu.Unlock()
	dec := a.runs.Admit(time.Now(), runs.Spec{
		ID: id, Attempt: d.Attempt, Body: d.Body, Payment: d.Payment, Parts: d.Parts, Retried: d.Retried, AttachOnly: d.AttachOnly,
	})
	a.forgetResponses()
	switch dec.Action {
	case runs.Attach:
		return a.responses[id], nil
	case runs.Start:
		return a.start(id, d), nil
	}
	if dec.Reason == runs.ReasonUnknownGrant {
		a.triggerHeartbeat()
	}
	return nil, &wire.Piece{Kind: wire.PieceRefused, Code: string(dec.Reason), Load: a.load()}
}

// forgetResponses deletes the responses of runs that are no longer kept.
func (a *Agent) forgetResponses() {
	if len(a.responses) <= a.runs.Len() {
		return
	}
	for id := range a.responses {
		if !a.runs.Kept(id) {
			delete(a.responses, id)
		}
	}
}
