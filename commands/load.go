package commands

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// loadOptions are the flags of load.
type loadOptions struct {
	url    string
	key    string
	model  string
	rate   float64
	length time.Duration
	tokens int
	prompt int
}

func newLoad(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap load")
	var o loadOptions
	fs.StringVar(&o.url, "url", "http://127.0.0.1:8080", "base URL of an entry or an engine")
	fs.StringVar(&o.key, "customer-key", "", "bearer key of the customer")
	fs.StringVar(&o.model, "model", "assistant", "model to request")
	fs.Float64Var(&o.rate, "rate", 100, "requests per second")
	fs.DurationVar(&o.length, "for", 10*time.Second, "duration of the run, at most 10m")
	fs.IntVar(&o.tokens, "tokens", 16, "tokens per response")
	fs.IntVar(&o.prompt, "prompt", 200, "size of the prompt in bytes")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "dotterelgap load [flags]",
		ShortHelp:  "generates a limited load and reports latencies",
		LongHelp: help(`
Sends requests for streamed responses at a constant rate, independent of the
response times, and reports outcomes, the time to the first token and the time
between tokens. Use it only against your own processes.

Example:
  dotterelgap load -url http://127.0.0.1:8080 -customer-key KEY -rate 500 -for 10s
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if o.length > 10*time.Minute || o.rate <= 0 || o.rate > 20_000 {
				return &UsageError{Message: "-for must be at most 10m; -rate must be above 0 and at most 20000"}
			}
			return t.load(ctx, o)
		},
	}
}

// loadRun collects the results of one run.
type loadRun struct {
	options     loadOptions
	client      *http.Client
	completed   atomic.Int64
	failed      atomic.Int64
	maxInFlight atomic.Int64
	inFlight    atomic.Int64

	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

func (t *terminal) load(ctx context.Context, o loadOptions) error {
	r := &loadRun{
		options: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
		firstToken: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		tokenGap:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / o.rate))
	defer ticker.Stop()
	end := time.After(o.length)
loop:
	for {
		select {
		case <-ctx.Done():
			break loop
		case <-end:
			break loop
		case <-ticker.C:
			wg.Go(func() { r.runRequest(ctx) })
		}
	}
	wg.Wait()
	t.printf("completed %d, failed %d, at most %d in flight\n", r.completed.Load(), r.failed.Load(), r.maxInFlight.Load())
	t.printf("first token ms: p50 %.2f, p95 %.2f, p99 %.2f\n", ms(r.firstToken, 50), ms(r.firstToken, 95), ms(r.firstToken, 99))
	t.printf("between tokens ms: p50 %.2f, p95 %.2f, p99 %.2f\n", ms(r.tokenGap, 50), ms(r.tokenGap, 95), ms(r.tokenGap, 99))
	return nil
}

// ms returns a percentile of a histogram in milliseconds.
func ms(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// runRequest sends a request, reads its response and counts the result.
func (r *loadRun) runRequest(ctx context.Context) {
	n := r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	for m := r.maxInFlight.Load(); n > m && !r.maxInFlight.CompareAndSwap(m, n); m = r.maxInFlight.Load() {
	}
	if err := r.send(ctx); err != nil {
		r.failed.Add(1)
		return
	}
	r.completed.Add(1)
}

func (r *loadRun) send(ctx context.Context) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		r.options.model, r.options.tokens, strings.Repeat("p", r.options.prompt))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.options.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+r.options.key)
	req.Header.Set("Content-Type", "application/json")
	started := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return r.readStream(bufio.NewScanner(resp.Body), started)
}

// readStream records the times between the events of a response. It returns an error
// if the response does not end with the end marker.
func (r *loadRun) readStream(sc *bufio.Scanner, started time.Time) error {
	last, done := started, false
	h := r.firstToken
	for sc.Scan() {
		line := sc.Bytes()
		if !bytes.HasPrefix(line, []byte("data:")) {
			continue
		}
		done = bytes.Contains(line, []byte("[DONE]"))
		now := time.Now()
		r.mu.Lock()
		_ = h.RecordValue(max(now.Sub(last).Microseconds(), 1))
		r.mu.Unlock()
		h, last = r.tokenGap, now
	}
	if err := sc.Err(); err != nil {
		return trace.Wrap(err)
	}
	if !done {
		return io.ErrUnexpectedEOF
	}
	return nil
}
