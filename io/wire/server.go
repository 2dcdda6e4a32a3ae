package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Timeouts of the internal listener.
const (
	headerTimeout = 5 * time.Second
	dialTimeout   = time.Second
)

// Params are the parameters of Listen.
type Params struct {
	Addr netip.AddrPort
	TLS  *tls.Config
	Log  *zap.Logger
}

// Server is a process's internal listener.
type Server struct {
	ln   net.Listener
	rpc  *rpc.Server
	mux  *http.ServeMux
	http *http.Server
	done chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Listen binds the address. The server accepts no connections before Serve.
func Listen(p Params) (*Server, error) {
	ln, err := net.Listen("tcp", p.Addr.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if p.TLS != nil {
		ln = tls.NewListener(ln, p.TLS)
	}
	s := &Server{ln: ln, rpc: rpc.NewServer(), mux: http.NewServeMux(), done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	s.mux.Handle(rpc.DefaultRPCPath, s.rpc)
	s.http = &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          zap.NewStdLog(p.Log),
		ConnState:         s.track,
	}
	return s, nil
}

// track records hijacked connections, which net/http does not close.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateHijacked {
		s.conns[c] = struct{}{}
	}
}

// Register adds a net/rpc service. It must come before Serve.
func (s *Server) Register(name string, service any) error {
	return trace.Wrap(s.rpc.RegisterName(name, service))
}

// Handle adds an HTTP handler. It must come before Serve.
func (s *Server) Handle(pattern string, h http.Handler) {
	s.mux.Handle(pattern, h)
}

// Serve starts accepting connections and returns.
func (s *Server) Serve() {
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.ln)
	}()
}

// Addr returns the address of the listener.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops listening, waits for running HTTP requests until ctx ends, and then closes
// all remaining connections.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		err = s.http.Close()
	}
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	<-s.done
	return trace.Wrap(err)
}
