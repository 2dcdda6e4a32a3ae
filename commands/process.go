package commands

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"

	"dotterelgap/io/telem"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// process is what every role needs.
type process struct {
	*telem.Telemetry
	pool   *wire.Pool
	server *wire.Server
	tls    *tls.Config
	rnd    *mathrand.Rand
}

// startProcess sets up telemetry, keys and the internal listener.
func startProcess(s *Settings, role string) (*process, error) {
	t, err := telem.Start(s.telemetry(), role)
	if err != nil {
		return nil, err
	}
	return newProcess(t, s, role)
}

// newProcess sets up keys and the internal listener.
func newProcess(t *telem.Telemetry, s *Settings, role string) (*process, error) {
	tlsConfig, err := s.keys().TLS()
	if err != nil {
		return nil, err
	}
	if tlsConfig == nil && role != "dev" {
		t.Log.Warn(role + ": no keys are set, so other processes are not checked")
	}
	server, err := wire.Listen(wire.Params{Addr: s.Internal.AddrPort, TLS: tlsConfig, Log: t.Log})
	if err != nil {
		return nil, err
	}
	return &process{Telemetry: t, pool: wire.NewPool(tlsConfig), server: server, tls: tlsConfig, rnd: newRand()}, nil
}

// newRand returns a generator with a seed from the operating system.
func newRand() *mathrand.Rand {
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		panic("commands: no randomness: " + err.Error())
	}
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// newKey returns a random bearer key.
func newKey() string {
	var raw [24]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("commands: no randomness: " + err.Error())
	}
	return hex.EncodeToString(raw[:])
}

// stopper ends a process in an orderly way, bounded in time.
type stopper interface {
	Close(ctx context.Context) (aborted int, err error)
}

// runUntilDone waits for the end of ctx and closes the role.
func (p *process) runUntilDone(ctx context.Context, s *Settings, role string, r stopper) error {
	<-ctx.Done()
	p.Log.Info(role + ": stopping")
	closeCtx, cancel := context.WithTimeout(context.Background(), s.StopTimeout.Std())
	defer cancel()
	aborted, err := r.Close(closeCtx)
	_ = p.pool.Close()
	if aborted > 0 {
		p.Log.Error(role+": cut off requests at the stop's bound", zap.Int("requests", aborted))
		err = trace.NewAggregate(err, fmt.Errorf("%d requests were cut off", aborted))
	}
	p.Log.Info(role + ": stopped")
	return trace.NewAggregate(err, p.Telemetry.Close())
}
