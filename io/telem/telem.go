package telem

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	promexport "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Settings configure the logs and traces of a process.
type Settings struct {
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
	// LogFormat is console or json.
	LogFormat string `json:"log_format,omitempty"`
	// Budget limits the log. With the zero value, the log is unlimited and written
	// synchronously.
	Budget Budget `json:"-"`
	// TraceFile is the file to which spans are written as JSON; "-" is the standard
	// output. If it is empty, tracing is off.
	TraceFile string `json:"trace_file,omitempty"`
	// TraceShare is the share of requests that are traced, from 0 to 1. 0 means 1.
	TraceShare float64 `json:"trace_share,omitempty"`
}

// Telemetry contains a process's logger and metrics registry.
type Telemetry struct {
	Log      *zap.Logger
	buffer   *LogBuffer
	registry *prometheus.Registry
	closers  []func(context.Context) error
}

// Start sets up telemetry for a process with a role. It registers the meter and tracer
// providers as OpenTelemetry's global ones.
func Start(s Settings, role string) (*Telemetry, error) {
	t := &Telemetry{registry: prometheus.NewRegistry()}
	if err := t.startLog(s); err != nil {
		return nil, err
	}
	if err := t.startMetrics(); err != nil {
		return nil, err
	}
	if s.TraceFile == "" {
		return t, nil
	}
	return t, t.startTraces(s, role)
}

func (t *Telemetry) startLog(s Settings) error {
	level := zapcore.InfoLevel
	if s.LogLevel != "" {
		if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
			return trace.Wrap(err)
		}
	}
	if s.Budget == (Budget{}) {
		log, err := newLogger(s, level)
		t.Log = log
		return err
	}
	buffer := NewLogBuffer(os.Stdout, s.Budget)
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	t.Log = zap.New(newBufferCore(level, zapcore.NewJSONEncoder(cfg), buffer))
	t.buffer = buffer
	return nil
}

func newLogger(s Settings, level zapcore.Level) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	if s.LogFormat != "json" {
		cfg.Encoding = "console"
	}
	log, err := cfg.Build()
	return log, trace.Wrap(err)
}

func (t *Telemetry) startMetrics() error {
	t.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := promexport.New(promexport.WithRegisterer(t.registry), promexport.WithoutScopeInfo())
	if err != nil {
		return trace.Wrap(err)
	}
	provider := metric.NewMeterProvider(metric.WithReader(exporter))
	otel.SetMeterProvider(provider)
	t.closers = append(t.closers, provider.Shutdown)
	return nil
}

func (t *Telemetry) startTraces(s Settings, role string) error {
	var w io.Writer = os.Stdout
	if s.TraceFile != "-" {
		f, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		w = f
		defer func() {
			t.closers = append(t.closers, func(context.Context) error { return f.Close() })
		}()
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return trace.Wrap(err)
	}
	share := s.TraceShare
	if share == 0 {
		share = 1
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "dotterelgap-"+role))),
	)
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.closers = append(t.closers, provider.Shutdown)
	return nil
}

// Metrics returns a handler that serves the metrics in the Prometheus text format.
func (t *Telemetry) Metrics() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close flushes logs, metrics and traces and closes the files.
func (t *Telemetry) Close() error {
	var errs []error
	for _, c := range t.closers {
		errs = append(errs, c(context.Background()))
	}
	if t.buffer != nil {
		errs = append(errs, t.buffer.Close())
	}
	// Syncing the standard error fails on terminals and pipes, which loses no lines.
	_ = t.Log.Sync()
	return trace.NewAggregate(errs...)
}
