package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"dotterelgap/core/ledger"

	"github.com/gravitational/trace"
)

// Limits of a call: its duration, and the size of the response in bytes.
const (
	callTimeout = 15 * time.Second
	maxReply    = 256 << 20
)

// Client calls the admin API. With several addresses, it tries the next one
// if a control host can't be reached or responds with status 503.
type Client struct {
	addrs []string
	key   string
	http  *http.Client
}

// NewClient returns a client for the control hosts at the given base URLs. key is an
// operator's key.
func NewClient(addrs []string, key string) *Client {
	return &Client{addrs: addrs, key: key, http: &http.Client{Timeout: callTimeout}}
}

// UnreachableError reports that no control host returned a result. The request may have
// been executed; repeating it is safe.
type UnreachableError struct {
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "no control host replied; repeating the command is safe: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Do sends a request and decodes the response into reply. The error is a *Failure if a
// control host rejected the request, or an *UnreachableError.
func (c *Client) Do(ctx context.Context, method, path string, args, reply any) error {
	body, err := json.Marshal(args)
	if err != nil {
		return trace.Wrap(err)
	}
	errs := []error{}
	for _, addr := range c.addrs {
		err := c.try(ctx, method, strings.TrimSuffix(addr, "/")+path, body, reply)
		var failure *Failure
		if err == nil || (errors.As(err, &failure) && failure.Status != http.StatusServiceUnavailable) {
			return err
		}
		errs = append(errs, err)
	}
	return &UnreachableError{Err: errors.Join(errs...)}
}

func (c *Client) try(ctx context.Context, method, url string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode == http.StatusOK {
		return trace.Wrap(json.Unmarshal(data, reply))
	}
	f := &Failure{}
	if err := json.Unmarshal(data, f); err != nil || f.Message == "" {
		f.Message = resp.Status
	}
	f.Status = resp.StatusCode
	return f
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigReply, error) {
	var r ConfigReply
	err := c.Do(ctx, http.MethodGet, PathConfig, nil, &r)
	return r, err
}

// Apply proposes a configuration and returns the result.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyReply, error) {
	var r ApplyReply
	err := c.Do(ctx, http.MethodPost, PathConfig, req, &r)
	return r, err
}

// TopUp records a payment and returns the customer's budget.
func (c *Client) TopUp(ctx context.Context, t ledger.TopUp) (CustomerReply, error) {
	var r CustomerReply
	err := c.Do(ctx, http.MethodPost, PathTopUps, t, &r)
	return r, err
}

// Customer returns a customer's budget.
func (c *Client) Customer(ctx context.Context, name string) (CustomerReply, error) {
	var r CustomerReply
	err := c.Do(ctx, http.MethodGet, PathCustomers+"/"+name, nil, &r)
	return r, err
}

// Status returns the status of the fleet.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	var r StatusReply
	err := c.Do(ctx, http.MethodGet, PathStatus, nil, &r)
	return r, err
}
