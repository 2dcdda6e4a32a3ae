// Package intake takes requests in from clients that are not controlled: it bounds the memory of
// their heads and bodies, the time that these may take, and the number of connections.
//
// # Usage
//
// One Gate bounds the memory of one kind of client. Conns bounds the connections of one listener: it
// wraps the listener, and its OnConnect and OnState are the ConnContext and ConnState of the
// http.Server. Handlers read bodies with Gate.Read.
package intake
