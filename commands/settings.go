package commands

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/fleet"
	"dotterelgap/core/parse"
	"dotterelgap/io/telem"
	"dotterelgap/io/wire"

	"github.com/peterbourgon/ff/v3"
)

// Settings are the settings of one process, such as its addresses and those of the
// control hosts. They can be set by a settings file, flags and environment variables.
type Settings struct {
	// Place is the data centre that the process runs in.
	Place string `json:"place"`
	// Listen is the address for callers (entry) or operators (control).
	Listen parse.Addr `json:"listen"`
	// Internal is the address for the system's own processes.
	Internal parse.Addr `json:"internal"`
	// Control are the internal addresses of the control hosts.
	Control []parse.Addr `json:"control"`
	// DataDir is the data folder of a control host.
	DataDir string `json:"data_dir"`
	// Size is the number of control hosts that vote.
	Size int `json:"size"`
	// FirstOperator is the digest of the key that may apply the first document.
	FirstOperator config.Digest `json:"first_operator"`
	// Service, Upstream and Slots describe an agent's upstream.
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Slots    int    `json:"slots"`
	// StopTimeout limits the time of a planned stop. LeaveNotice is how long a
	// leaving entry continues to serve, so that the balancer can detect that it
	// leaves.
	StopTimeout parse.Duration `json:"stop_timeout"`
	LeaveNotice parse.Duration `json:"leave_notice"`
	// BudgetWait is how long a request may wait for tokens. BudgetHorizon is the
	// time that an entry's stock of tokens should last while no control host is
	// reachable.
	BudgetWait    parse.Duration `json:"budget_wait"`
	BudgetHorizon parse.Duration `json:"budget_horizon"`
	// ReportInterval is the time between two reports of spent tokens.
	ReportInterval parse.Duration `json:"report_interval"`
	// MemoryMB is the memory that the process may use; 0 for no limit.
	MemoryMB   int     `json:"memory_mb"`
	CAFile     string  `json:"ca_file"`
	CertFile   string  `json:"cert_file"`
	KeyFile    string  `json:"key_file"`
	LogLevel   string  `json:"log_level"`
	LogFormat  string  `json:"log_format"`
	TraceFile  string  `json:"trace_file"`
	TraceShare float64 `json:"trace_share"`
}

// defaultSettings returns the settings with their default values.
func defaultSettings() *Settings {
	return &Settings{
		Size:           3,
		Slots:          64,
		StopTimeout:    parse.Duration(2 * time.Minute),
		LeaveNotice:    parse.Duration(5 * time.Second),
		BudgetWait:     parse.Duration(2 * time.Second),
		BudgetHorizon:  parse.Duration(time.Hour),
		ReportInterval: parse.Duration(10 * time.Second),
		LogLevel:       "info",
		LogFormat:      "console",
		TraceShare:     1,
	}
}

// setter sets one of the settings from text.
type setter func(text string) error

// setters maps each key of the settings file to its setter. Flags have the same
// names with '-' for '_'.
func (s *Settings) setters() map[string]setter {
	return map[string]setter{
		"place":           str(&s.Place),
		"listen":          addr(&s.Listen),
		"internal":        addr(&s.Internal),
		"control":         s.setControl,
		"data_dir":        str(&s.DataDir),
		"size":            integer(&s.Size),
		"first_operator":  func(t string) error { return s.FirstOperator.UnmarshalText([]byte(t)) },
		"service":         str(&s.Service),
		"upstream":        str(&s.Upstream),
		"slots":           integer(&s.Slots),
		"stop_timeout":    duration(&s.StopTimeout),
		"leave_notice":    duration(&s.LeaveNotice),
		"budget_wait":     duration(&s.BudgetWait),
		"budget_horizon":  duration(&s.BudgetHorizon),
		"report_interval": duration(&s.ReportInterval),
		"memory_mb":       integer(&s.MemoryMB),
		"ca_file":         str(&s.CAFile),
		"cert_file":       str(&s.CertFile),
		"key_file":        str(&s.KeyFile),
		"log_level":       str(&s.LogLevel),
		"log_format":      str(&s.LogFormat),
		"trace_file":      str(&s.TraceFile),
		"trace_share":     number(&s.TraceShare),
	}
}

func str(dst *string) setter {
	return func(t string) error { *dst = t; return nil }
}

func integer(dst *int) setter {
	return func(t string) (err error) { *dst, err = strconv.Atoi(t); return err }
}

func number(dst *float64) setter {
	return func(t string) (err error) { *dst, err = strconv.ParseFloat(t, 64); return err }
}

func duration(dst *parse.Duration) setter {
	return func(t string) error { return dst.UnmarshalText([]byte(t)) }
}

func (s *Settings) setControl(text string) error {
	s.Control = nil
	for _, part := range strings.Split(text, ",") {
		var a parse.Addr
		if err := a.UnmarshalText([]byte(part)); err != nil {
			return err
		}
		s.Control = append(s.Control, a)
	}
	return nil
}

// usage describes each setting in the help text.
var usage = map[string]string{
	"place":           "data centre that the process runs in",
	"listen":          "IP address and port for callers (entry) or operators (control)",
	"internal":        "IP address and port for the system's own processes",
	"control":         "internal addresses of the control hosts, separated by commas",
	"data_dir":        "data folder of a control host",
	"size":            "number of control hosts that vote",
	"first_operator":  "SHA-256 digest of the key that may apply the first document",
	"service":         "service that the upstream serves",
	"upstream":        "base URL of the upstream, with an IP address",
	"slots":           "number of requests that the upstream runs concurrently",
	"stop_timeout":    "time limit of a planned stop",
	"leave_notice":    "time for the balancer to detect that an entry leaves",
	"budget_wait":     "how long a request may wait for tokens",
	"budget_horizon":  "time that an entry's stock of tokens should last without a control host",
	"report_interval": "time between two reports of spent tokens",
	"memory_mb":       "memory that the process may use, in MB; 0 for no limit",
	"ca_file":         "certificate of the fleet's certificate authority",
	"cert_file":       "certificate of this process",
	"key_file":        "private key of this process",
	"log_level":       "debug, info, warn or error",
	"log_format":      "console or json",
	"trace_file":      "file for trace spans; - for the standard output",
	"trace_share":     "share of requests that are traced, 0 to 1",
}

// bind adds flags for the settings keys and the flag -config. It returns the options
// that read the same settings from the environment and the settings file. Flags
// override the environment, which overrides the settings file.
func (s *Settings) bind(fs *flag.FlagSet, keys ...string) []ff.Option {
	all := s.setters()
	for _, key := range keys {
		fs.Func(flagName(key), usage[key], all[key])
	}
	file := fs.String("config", "", "settings file, JSON with comments")
	return []ff.Option{
		ff.WithEnvVarPrefix(envPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(func(r io.Reader, set func(name, value string) error) error {
			return readSettings(*file, r, keys, set)
		}),
	}
}

func flagName(key string) string {
	return strings.ReplaceAll(key, "_", "-")
}

// readSettings passes the values of a settings file to set. It checks the whole file
// first.
func readSettings(file string, r io.Reader, keys []string, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	var scratch Settings
	ps := parse.Into(file, data, &scratch)
	values, err := flatValues(data)
	if err == nil {
		checkKeys(ps, values, keys)
	}
	if err := ps.Err(); err != nil {
		return err
	}
	for _, key := range keys {
		text, ok := values[key]
		if !ok {
			continue
		}
		if err := set(flagName(key), text); err != nil {
			return fmt.Errorf("%s: %s: %w", file, key, err)
		}
	}
	return nil
}

// checkKeys adds a problem for each setting that the role does not have.
func checkKeys(ps *parse.Problems, values map[string]string, keys []string) {
	allowed := map[string]bool{}
	for _, k := range keys {
		allowed[k] = true
	}
	for key := range values {
		if _, any := usage[key]; any && !allowed[key] {
			ps.Add(key, "unknown setting for this role; its settings are %s", strings.Join(keys, ", "))
		}
	}
}

// check returns a *UsageError if settings that the role needs are missing or invalid.
func (s *Settings) check(needed ...string) error {
	var missing []string
	have := map[string]bool{
		"place": s.Place != "", "listen": s.Listen.IsValid(), "internal": s.Internal.IsValid(),
		"control": len(s.Control) > 0, "data_dir": s.DataDir != "", "service": s.Service != "",
		"upstream": s.Upstream != "",
	}
	for _, key := range needed {
		if !have[key] {
			missing = append(missing, flagName(key))
		}
	}
	if len(missing) > 0 {
		return &UsageError{Message: "needs -" + strings.Join(missing, ", -") + " (or the same keys in the settings file)"}
	}
	if s.MemoryMB < 0 {
		return &UsageError{Message: fmt.Sprintf("-memory-mb must not be negative, not %d", s.MemoryMB)}
	}
	if s.Size < 1 || s.Size > 7 || s.Size%2 == 0 {
		return &UsageError{Message: fmt.Sprintf("-size must be 1, 3, 5 or 7, not %d", s.Size)}
	}
	return nil
}

// upstreamURL parses the base URL of the upstream, which must use an IP address.
func (s *Settings) upstreamURL() (*url.URL, error) {
	u, err := url.Parse(s.Upstream)
	if err == nil {
		_, err = netip.ParseAddrPort(u.Host)
	}
	if err != nil || u.Scheme != "http" {
		return nil, &UsageError{Message: fmt.Sprintf("-upstream must be like http://10.0.0.7:8000 with an IP address, not %q", s.Upstream)}
	}
	return u, nil
}

func (s *Settings) controlAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range s.Control {
		out = append(out, a.AddrPort)
	}
	return out
}

func (s *Settings) keys() wire.Keys {
	return wire.Keys{CAFile: s.CAFile, CertFile: s.CertFile, KeyFile: s.KeyFile}
}

func (s *Settings) telemetry() telem.Settings {
	return telem.Settings{LogLevel: s.LogLevel, LogFormat: s.LogFormat, TraceFile: s.TraceFile, TraceShare: s.TraceShare}
}

func (s *Settings) place() fleet.Place {
	return fleet.Place(s.Place)
}

func addr(dst *parse.Addr) setter {
	return func(t string) error { return dst.UnmarshalText([]byte(t)) }
}
