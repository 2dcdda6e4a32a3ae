package entry

import (
	"encoding/json"
	"mime"
	"net/http"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/route"
	"dotterelgap/io/wire"

	"github.com/cespare/xxhash/v2"
)

// chatRequest holds the fields of a chat/completions body that the entry reads. The other
// fields are forwarded unchanged.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens *escrow.Tokens    `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	N         *int              `json:"n"`
}

// serveChat serves a request to a model service in the chat/completions format.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, c caller) *Problem {
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || t != "application/json" {
		return notRun(http.StatusUnsupportedMediaType, "bad_content_type", "the content type must be application/json", 0)
	}
	var req chatRequest
	if err := json.Unmarshal(c.body, &req); err != nil {
		return notRun(http.StatusBadRequest, "bad_json", err.Error(), 0)
	}
	s, access, p := c.view.lookup(c.customer, req.Model, config.KindModel)
	if p != nil {
		return p
	}
	limit, p := req.outputLimit(s)
	if p != nil {
		return p
	}
	body, err := withOutputLimit(c.body, limit, req.Stream)
	if err != nil {
		return notRun(http.StatusBadRequest, "bad_json", err.Error(), 0)
	}
	prompt := escrow.Tokens(len(c.body))
	j := &job{
		e: e, caller: c, service: s, access: access, bodyDigest: xxhash.Sum64(c.body),
		worstCase: prompt + limit,
		tokens:    route.Tokens(c.body), blocks: route.Blocks(c.body, route.DefaultOptions().BlockTokens),
		timeout: s.TimeoutOr(e.deps.Limits.RequestTimeout),
		request: wire.Request{
			Method: http.MethodPost, Path: "/v1/chat/completions", ContentType: "application/json", Body: body,
			Repeatable: true, Model: true, PromptTokens: prompt, MaxOutput: limit,
		},
	}
	return j.serve(r.Context(), newSink(w, e.deps.Limits, c.key, req.Stream))
}

// outputLimit returns the number of tokens that the engine may generate.
func (r chatRequest) outputLimit(s config.Service) (escrow.Tokens, *Problem) {
	switch {
	case len(r.Messages) == 0:
		return 0, notRun(http.StatusBadRequest, "bad_request", "\"messages\" is empty", 0)
	case r.N != nil && *r.N != 1:
		return 0, notRun(http.StatusBadRequest, "bad_request", "\"n\" must be 1", 0)
	case r.MaxTokens == nil:
		return s.MaxOutputTokens, nil
	case *r.MaxTokens < 1:
		return 0, notRun(http.StatusBadRequest, "bad_request", "\"max_tokens\" must be at least 1", 0)
	}
	return min(*r.MaxTokens, s.MaxOutputTokens), nil
}

// withOutputLimit sets max_tokens to the limit that tokens are reserved for. If the
// response is streamed, it also requests the engine's own token counts.
func withOutputLimit(body []byte, limit escrow.Tokens, stream bool) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(limit)
	if err != nil {
		return nil, err
	}
	fields["max_tokens"] = raw
	delete(fields, "max_completion_tokens")
	if stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(fields)
}

func (v *view) lookup(customer, service string, kind config.Kind) (config.Service, config.Access, *Problem) {
	s, ok := v.services[service]
	if !ok || s.Kind != kind {
		return s, config.Access{}, notRun(http.StatusNotFound, "no_such_service", "there is no "+string(kind)+" service of this name", 0)
	}
	a, ok := v.access[customer][service]
	if !ok {
		return s, a, notRun(http.StatusForbidden, "forbidden", "the customer may not use this service", 0)
	}
	return s, a, nil
}
