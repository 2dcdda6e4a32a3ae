package front_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against responses that HTTP does not have, and a response without a length that was broken off
// while the upload was still being written, reaching the caller as complete ones.
func TestOddResponses(t *testing.T) {
	odd := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	}
	const rest = " Odd\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		upstream http.HandlerFunc
		size     int
		status   int
	}{
		"status 000":                    {odd("HTTP/1.1 000" + rest), 4, http.StatusBadGateway},
		"status 099, then another":      {odd("HTTP/1.1 099" + rest + "HTTP/1.1 200" + rest), 4, http.StatusBadGateway},
		"status 600":                    {odd("HTTP/1.1 600" + rest), 4, http.StatusBadGateway},
		"status 999":                    {odd("HTTP/1.1 999" + rest), 4, http.StatusBadGateway},
		"status 101":                    {odd("HTTP/1.1 101" + rest), 4, http.StatusBadGateway},
		"interim response":              {odd("HTTP/1.1 103 Hints\r\n\r\n" + unframedHead + event(0)), 4, http.StatusOK},
		"broken off within the upload":  {odd(unframedHead + event(0)), 4 << 20, http.StatusOK},
		"broken off before the upload":  {odd(unframedHead), 4 << 20, http.StatusBadGateway},
		"complete after a short upload": {odd(unframedHead + event(0)), 4, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url := start(t, &fakeBudgets{done: make(chan struct{}, 1)}, c.upstream)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/plan/a", strings.NewReader(strings.Repeat("x", c.size)))
			is.NoErr(err)
			req.Host = "h.example"
			req.Header.Set("Id", "r1")
			req.Header.Set("Key", "k1")
			resp, err := http.DefaultClient.Do(req)
			if err != nil && strings.HasPrefix(name, "broken off") {
				return // the upload broke off with the response
			}
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, c.status)
			is.Equal(err != nil, name == "broken off within the upload") // must not look complete
		})
	}
}
