package wire

import "net/http"

// WhereArgs describes a request of which a node is asked where it would go now.
type WhereArgs struct {
	Host, Path string
	Header     http.Header
}
