// Package admin is the administration API: its messages and a client. Any
// control host answers; requests carry an operator's bearer key.
//
// # Usage
//
//	c := admin.NewClient("http://10.0.0.5:7300", key)
//	v, err := c.Apply(ctx, admin.ApplyRequest{ChangeID: id, Base: 7, Document: text})
package admin
