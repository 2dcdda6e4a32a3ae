package entry

import (
	"net/http"
	"strings"

	"dotterelgap/core/config"
	"dotterelgap/io/wire"

	"github.com/cespare/xxhash/v2"
)

// servePlain forwards a call to a plain service.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request, c caller) *Problem {
	s, access, p := c.view.lookup(c.customer, r.PathValue("service"), config.KindPlain)
	if p != nil {
		return p
	}
	path := "/" + r.PathValue("path")
	repeatable := isRepeatable(r.Method, path, s)
	if !repeatable && !c.keyed {
		return notRun(http.StatusBadRequest, "key_needed", "this call must not be repeated, so it needs an Idempotency-Key header", 0)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	j := &job{
		e: e, caller: c, service: s, access: access, worstCase: s.TokensPerCall,
		bodyDigest: digestCall(r.Method, path, c.body),
		timeout:    s.TimeoutOr(e.deps.Limits.RequestTimeout),
		request: wire.Request{
			Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: c.body,
			Key: c.key, Repeatable: repeatable, FixedTokens: s.TokensPerCall,
		},
	}
	sink := newSink(w, e.deps.Limits, c.key, false)
	if repeatable {
		return j.serve(r.Context(), sink)
	}
	return j.serveOnce(r.Context(), sink)
}

// isRepeatable reports whether a call may be repeated.
func isRepeatable(method, path string, s config.Service) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	for _, prefix := range s.RepeatablePaths {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func digestCall(method, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + path + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}
