package front

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1) and those that
// are set for each message.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// forwardHeader returns the headers of a request that are forwarded to the
// upstream.
func forwardHeader(h http.Header, strip []string) http.Header {
	out := make(http.Header, len(h)+4)
	copyHeader(out, h)
	for _, name := range strip {
		out.Del(name)
	}
	return out
}

// copyHeader copies all headers except hopHeaders and those that a Connection
// header lists.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
	for _, value := range src["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
}

// copyResponseHeader copies the headers of an upstream's response to the caller's.
func (c *call) copyResponseHeader(h http.Header) {
	copyHeader(c.w.Header(), h)
	c.announceClose()
}

// announceClose tells the caller to close its connection if the front is leaving, so that no
// request is on its way when the front closes it.
func (c *call) announceClose() {
	if c.f.leaving.Load() {
		c.w.Header().Set("Connection", "close")
	}
}
