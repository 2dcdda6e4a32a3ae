// Package admin contains the messages of the admin API and a client. Any control
// host serves the API. Requests are authorized by an operator's key as the bearer token.
//
// # Usage
//
//	c := admin.NewClient([]string{"http://10.0.0.5:7300"}, key)
//	r, err := c.Apply(ctx, admin.ApplyRequest{ChangeID: id, Base: 7, Document: text})
package admin
