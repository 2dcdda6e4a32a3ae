package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dotterelgap/core/runs"
	"dotterelgap/io/telem"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// start runs a dispatch in a new goroutine. Callers hold mu.
func (a *Agent) start(id runs.ID, d wire.Dispatch) *response {
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	res := newResponse(cancel)
	a.responses[id] = res
	a.runWG.Go(func() {
		defer cancel()
		a.run(telem.Extract(ctx, d.Trace), id, d, res)
	})
	return res
}

// run calls the upstream and records the result.
func (a *Agent) run(ctx context.Context, id runs.ID, d wire.Dispatch, res *response) {
	ctx, span := telem.Span(ctx, "agent.run")
	defer span.End()
	c := &call{agent: a, id: id, dispatch: d, response: res}
	err := c.do(ctx)
	var notSent *notSentError
	a.mu.Lock()
	defer a.mu.Unlock()
	if errors.As(err, &notSent) {
		a.runs.NotRun(time.Now(), id)
		delete(a.responses, id)
		res.finish(wire.Piece{Kind: wire.PieceRefused, Attempt: d.Attempt, Code: wire.CodeUpstreamDown, Message: err.Error()})
		return
	}
	used := a.runs.End(time.Now(), id, res.size())
	end := wire.Piece{Kind: wire.PieceEnd, Attempt: d.Attempt, Used: used, Payment: d.Payment}
	if err != nil {
		a.log.Warn("agent: run failed", zap.String("key", d.Key), zap.Error(err))
		end.Kind, end.Code, end.Message = wire.PieceFailed, failureCode(ctx, err), err.Error()
	}
	res.finish(end)
}

func failureCode(ctx context.Context, err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return wire.CodeTimeout
	case errors.Is(err, context.Canceled):
		return wire.CodeCanceled
	}
	return wire.CodeUpstreamBad
}

// notSentError is returned for a call of which nothing reached the upstream.
type notSentError struct {
	err error
}

func (e *notSentError) Error() string { return "request did not reach the upstream: " + e.err.Error() }

func (e *notSentError) Unwrap() error { return e.err }

// call is one call to the upstream.
type call struct {
	agent    *Agent
	id       runs.ID
	dispatch wire.Dispatch
	response *response
}

func (c *call) do(ctx context.Context) error {
	ctx, span := telem.Span(ctx, "upstream")
	defer span.End()
	sent := &wire.SentTracker{}
	req, err := c.request(sent.Attach(ctx))
	if err != nil {
		return &notSentError{err}
	}
	client := c.agent.httpClient
	if !c.dispatch.Request.Repeatable {
		client = c.agent.singleUseClient
	}
	resp, err := client.Do(req)
	if err != nil {
		if !sent.Connected() {
			return &notSentError{err}
		}
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := c.receive(resp); err != nil {
		return err
	}
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return nil
	}
	// A reset while the request is being written looks like the end of a response without a length.
	return sent.Written(ctx)
}

func (c *call) request(ctx context.Context) (*http.Request, error) {
	r := c.dispatch.Request
	u := *c.agent.deps.Upstream
	path, query, _ := strings.Cut(r.Path, "?")
	u.Path = strings.TrimSuffix(u.Path, "/") + path
	u.RawQuery = query
	req, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport cannot resend the request.
	req.GetBody = nil
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	if parent := telem.Inject(ctx); parent != "" {
		req.Header.Set("Traceparent", parent)
	}
	return req, nil
}

// receive copies the upstream's response and meters it.
func (c *call) receive(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > lastStatus {
		return &responseError{"status " + strconv.Itoa(resp.StatusCode)}
	}
	c.response.setHead(wire.Piece{
		Kind: wire.PieceHead, Attempt: c.dispatch.Attempt,
		Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"),
	})
	if !c.dispatch.Request.Model {
		c.use(c.dispatch.Request.FixedTokens)
		return c.copyBody(resp.Body)
	}
	m := newTokenMeter(c.dispatch.Request)
	if resp.StatusCode != http.StatusOK {
		return c.copyBody(resp.Body)
	}
	defer func() { c.use(m.total()) }()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return c.copyEvents(resp.Body, m)
	}
	return c.copyCompletion(resp.Body, m)
}

func (c *call) copyBody(body io.Reader) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if c.response.size()+int64(n) > maxResponse {
				return &responseError{"body exceeds the size limit"}
			}
			c.response.append(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// lastStatus is the highest status of HTTP (RFC 9110, section 15).
const lastStatus = 599

// maxResponse bounds the body of a response, in bytes.
const maxResponse = 32 << 20
