// Package upload bounds the memory of what callers send: the bodies and the heads of
// requests.
//
// # Usage
//
// Each upload reserves its bytes with Meter.Reserve before they are read, and releases them
// with Release once the request has ended. If they do not fit, the Meter names an upload that
// yields, and the new one waits for its memory, or the Meter rejects the new one.
package upload
