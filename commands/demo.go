package commands

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"dotterelgap/io/admin"

	"github.com/gravitational/trace"
)

// billTimeout limits the time until the use of the first request is reported.
const billTimeout = 15 * time.Second

const demoBody = `{"model":"assistant","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Plan 400 pegs for Monday."}]}`

// demo sends one request and prints the customer's account afterwards.
func (f *devFleet) demo(ctx context.Context, t *terminal) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entryAddr+"/v1/chat/completions", bytes.NewBufferString(demoBody))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+f.keys.customer)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("first request failed: %s: %s", resp.Status, body)
	}
	t.printf("response: %d bytes in %d events, outcome %s\n", len(body), bytes.Count(body, []byte("data: ")), resp.Trailer.Get("Dotterelgap-Outcome"))
	return f.showBill(ctx, t)
}

// showBill waits until the entry has reported the use to the ledger and prints the
// customer's account.
func (f *devFleet) showBill(ctx context.Context, t *terminal) error {
	ctx, cancel := context.WithTimeout(ctx, billTimeout)
	defer cancel()
	client := admin.NewClient([]string{f.adminURL}, f.keys.operator)
	return pollUntil(ctx, func() (bool, error) {
		c, err := client.Customer(ctx, "workshop")
		if err != nil || c.Billed+c.Spent == 0 {
			return false, err
		}
		printCustomer(t, c)
		return true, nil
	})
}

// printInstructions prints the addresses and keys of the fleet with example commands.
func (f *devFleet) printInstructions(t *terminal) {
	t.printf(`
callers:   http://%s    key %s
operators: %s    key %s

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -H 'Content-Type: application/json' -d '%s'
  dotterelgap status -admin %s -operator-key %s

Press Ctrl-C to stop.
`, f.entryAddr, f.keys.customer, f.adminURL, f.keys.operator, f.entryAddr, f.keys.customer, demoBody, f.adminURL, f.keys.operator)
}
