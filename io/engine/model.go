package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// Model is a stand-in for a model engine.
type Model struct {
	opts  Options
	slots chan struct{}
	mux   *http.ServeMux
	// Tokens counts the prompt and output tokens that were processed.
	Tokens atomic.Int64
	// Requests counts the accepted requests, including those that wait for a
	// slot.
	Requests atomic.Int64

	mu    sync.Mutex
	fault Fault
}

// NewModel returns an idle engine.
func NewModel(opts Options) *Model {
	m := &Model{opts: opts, slots: make(chan struct{}, opts.Slots), mux: http.NewServeMux(), fault: opts.Fault}
	m.mux.HandleFunc("POST /v1/chat/completions", m.handleCompletion)
	m.mux.HandleFunc("POST /fault", m.setFault)
	m.mux.HandleFunc("GET /counts", m.counts)
	return m
}

// ServeHTTP implements http.Handler.
func (m *Model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mux.ServeHTTP(w, r)
}

func (m *Model) setFault(_ http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = Fault(r.URL.Query().Get("kind"))
}

func (m *Model) counts(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "{\"requests\":%d,\"tokens\":%d}\n", m.Requests.Load(), m.Tokens.Load())
}

type completionRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func (m *Model) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	fault := m.fault
	m.mu.Unlock()
	m.Requests.Add(1)
	select {
	case m.slots <- struct{}{}:
		defer func() { <-m.slots }()
	case <-r.Context().Done():
		return
	}
	prompt := promptTokens(c.Messages)
	m.Tokens.Add(int64(prompt))
	if !sleep(r.Context(), time.Duration(prompt)*m.opts.PrefillTime) {
		return
	}
	if c.Stream {
		m.streamCompletion(w, r, c, prompt, fault)
		return
	}
	m.writeCompletion(w, r, c, prompt)
}

func promptTokens(messages []json.RawMessage) int {
	n := 0
	for _, msg := range messages {
		n += len(msg) / bytesPerToken
	}
	return max(n, 1)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (m *Model) outputTokens(c completionRequest) int {
	if c.MaxTokens > 0 {
		return min(m.opts.Length, c.MaxTokens)
	}
	return m.opts.Length
}

func (m *Model) streamCompletion(w http.ResponseWriter, r *http.Request, c completionRequest, prompt int, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	n := m.outputTokens(c)
	if fault == FaultRepeat {
		n = c.MaxTokens * 2
	}
	for i := range n {
		if i > 0 && !sleep(r.Context(), m.opts.TokenTime) {
			return
		}
		if i == n/2 && m.injectFault(w, r, fault) {
			return
		}
		m.Tokens.Add(1)
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d \"}}]}\n\n", i)
		_ = rc.Flush()
	}
	u, err := json.Marshal(usage{Prompt: prompt, Completion: n, Total: prompt + n})
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":%s}\n\n", u)
	if fault != FaultNoEnd {
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}
}

// injectFault applies the fault in the middle of a response. It reports whether the
// response ends there.
func (m *Model) injectFault(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	switch fault {
	case FaultGarbage:
		_, _ = w.Write([]byte("\x00\xff not an event\n\n"))
		return true
	case FaultCut:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultStall:
		<-r.Context().Done()
		return true
	}
	return false
}

func (m *Model) writeCompletion(w http.ResponseWriter, r *http.Request, c completionRequest, prompt int) {
	n := m.outputTokens(c)
	if !sleep(r.Context(), time.Duration(n)*m.opts.TokenTime) {
		return
	}
	m.Tokens.Add(int64(n))
	var text strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&text, "w%d ", i)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"model":   c.Model,
		"choices": []any{map[string]any{"index": 0, "message": map[string]string{"role": "assistant", "content": text.String()}}},
		"usage":   usage{Prompt: prompt, Completion: n, Total: prompt + n},
	})
}
