package commands

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"

	"dotterelgap/io/sigs"
	"dotterelgap/io/telem"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// process holds what every role needs.
type process struct {
	*telem.Telemetry
	pool   *wire.Pool
	server *wire.Server
	tls    *tls.Config
	rnd    *mathrand.Rand
}

// startProcess sets up signals, telemetry, TLS and the internal listener.
func startProcess(signals *sigs.Signals, s *Settings, role string) (*process, error) {
	signals.IgnoreClosedOutput()
	t, err := telem.Start(s.telemetry(), role)
	if err != nil {
		return nil, err
	}
	go logHangups(t.Log, signals, role)
	return newProcess(t, s, role)
}

// logHangups logs each SIGHUP until the process exits. Settings of these roles come from flags
// and the environment, which do not change while the process runs.
func logHangups(log *zap.Logger, signals *sigs.Signals, role string) {
	for range signals.Hangups() {
		log.Info(role + ": SIGHUP has no effect; settings are read at the start only")
	}
}

// newProcess sets up TLS and the internal listener.
func newProcess(t *telem.Telemetry, s *Settings, role string) (*process, error) {
	tlsConfig, err := s.keys().TLS()
	if err != nil {
		return nil, err
	}
	if tlsConfig == nil && role != "dev" {
		t.Log.Warn(role + ": no TLS keys are set; other processes are not authenticated")
	}
	server, err := wire.Listen(wire.Params{Addr: s.Internal.AddrPort, TLS: tlsConfig, Log: t.Log})
	if err != nil {
		return nil, err
	}
	return &process{Telemetry: t, pool: wire.NewPool(tlsConfig), server: server, tls: tlsConfig, rnd: newRand()}, nil
}

// newRand returns a random number generator that is seeded by the operating system.
func newRand() *mathrand.Rand {
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		panic("commands: reading random bytes: " + err.Error())
	}
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// newKey returns a random bearer key.
func newKey() string {
	var raw [24]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("commands: reading random bytes: " + err.Error())
	}
	return hex.EncodeToString(raw[:])
}

// stopper is a role that can be shut down gracefully.
type stopper interface {
	// Close waits for requests in progress until ctx ends and returns the number of
	// requests that it aborted.
	Close(ctx context.Context) (aborted int, err error)
}

// runUntilDone waits until ctx ends and closes the role within the stop timeout.
func (p *process) runUntilDone(ctx context.Context, s *Settings, role string, r stopper) error {
	<-ctx.Done()
	p.Log.Info(role + ": stopping")
	closeCtx, cancel := context.WithTimeout(context.Background(), s.StopTimeout.Std())
	defer cancel()
	aborted, err := r.Close(closeCtx)
	_ = p.pool.Close()
	if aborted > 0 {
		p.Log.Error(role+": aborted requests at the stop timeout", zap.Int("requests", aborted))
		err = trace.NewAggregate(err, fmt.Errorf("%d requests were aborted", aborted))
	}
	p.Log.Info(role + ": stopped")
	return trace.NewAggregate(err, p.Telemetry.Close())
}
