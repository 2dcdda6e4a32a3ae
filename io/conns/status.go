package conns

import (
	"net/http"
	"strconv"
)

// lastStatus is the highest status of HTTP (RFC 9110, section 15).
const lastStatus = 599

// StatusError reports that a response has a status that HTTP does not have, or one that was not asked
// for.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "invalid status " + strconv.Itoa(e.Status) }

// checkStatus returns a *StatusError unless the status of a response may be passed on. Requests never
// ask to switch protocols.
func checkStatus(resp *http.Response) error {
	s := resp.StatusCode
	if s < http.StatusContinue || s > lastStatus || s == http.StatusSwitchingProtocols {
		return &StatusError{Status: s}
	}
	return nil
}
