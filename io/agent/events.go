package agent

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"dotterelgap/core/escrow"
	"dotterelgap/io/wire"
)

// maxEvent bounds one server-sent event, in bytes.
const maxEvent = 1 << 20

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	usageField = []byte(`"usage"`)
)

// responseError is returned for an invalid response of the upstream.
type responseError struct {
	message string
}

func (e *responseError) Error() string { return "invalid upstream response: " + e.message }

// tokenMeter counts the tokens of a model's response. The usage that the engine
// reports takes precedence. Without it, each event counts as one token, and the
// prompt counts at its upper bound.
type tokenMeter struct {
	prompt     escrow.Tokens
	completion escrow.Tokens
	limit      escrow.Tokens
}

func newTokenMeter(r wire.Request) *tokenMeter {
	return &tokenMeter{prompt: r.PromptTokens, limit: r.MaxOutput}
}

// usage is the token usage in a chunk or response of the chat/completions format.
type usage struct {
	Usage *struct {
		Prompt     escrow.Tokens `json:"prompt_tokens"`
		Completion escrow.Tokens `json:"completion_tokens"`
	} `json:"usage"`
	Choices []json.RawMessage `json:"choices"`
}

// event counts the tokens of one event.
func (m *tokenMeter) event(data []byte) error {
	if !json.Valid(data) {
		return &responseError{"event data is not valid JSON"}
	}
	if !bytes.Contains(data, usageField) {
		m.completion++
		return m.check()
	}
	var u usage
	if err := json.Unmarshal(data, &u); err != nil {
		return &responseError{err.Error()}
	}
	if u.Usage == nil {
		m.completion++
		return m.check()
	}
	m.prompt = min(m.prompt, max(u.Usage.Prompt, 0))
	m.completion = max(u.Usage.Completion, 0)
	return m.check()
}

func (m *tokenMeter) total() escrow.Tokens {
	return m.prompt + min(m.completion, m.limit)
}

func (m *tokenMeter) check() error {
	if m.completion > m.limit {
		return &responseError{"more tokens than the request allows"}
	}
	return nil
}

// use records the tokens that the run has used.
func (c *call) use(used escrow.Tokens) {
	c.agent.mu.Lock()
	defer c.agent.mu.Unlock()
	c.agent.runs.Use(c.id, used)
}

// copyEvents copies a stream of server-sent events to the response, event by event.
// A stream without the end marker is incomplete.
func (c *call) copyEvents(body io.Reader, m *tokenMeter) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxEvent)
	sc.Split(splitEvent)
	done := false
	for sc.Scan() {
		if done {
			return &responseError{"event after the end marker"}
		}
		event := sc.Bytes()
		data, ok := bytes.CutPrefix(bytes.TrimSpace(event), dataPrefix)
		if !ok {
			return &responseError{"event does not start with a data field"}
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			done = true
		} else if err := m.event(data); err != nil {
			return err
		}
		c.response.append(event)
	}
	if err := sc.Err(); err != nil {
		return err
	}
	if !done {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// splitEvent is a bufio.SplitFunc that returns an event with its blank line. Data
// at the end without a blank line is an incomplete event.
func splitEvent(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2, data[:i+2], nil
	}
	if !atEOF {
		return 0, nil, nil
	}
	if len(bytes.TrimSpace(data)) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return len(data), nil, nil
}

// copyCompletion copies a response that is not streamed.
func (c *call) copyCompletion(body io.Reader, m *tokenMeter) error {
	data, err := io.ReadAll(io.LimitReader(body, maxResponse+1))
	if err != nil {
		return err
	}
	if len(data) > maxResponse {
		return &responseError{"body exceeds the size limit"}
	}
	var u usage
	if err := json.Unmarshal(data, &u); err != nil || u.Usage == nil {
		m.completion = m.limit
		return errors.Join(&responseError{"token usage is missing"}, err)
	}
	if err := m.event(data); err != nil {
		return err
	}
	c.response.append(data)
	return nil
}
