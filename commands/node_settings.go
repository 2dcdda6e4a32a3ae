package commands

import (
	"math"
	"net/netip"
	"os"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/parse"
	"dotterelgap/core/sched"
	"dotterelgap/io/front"
	"dotterelgap/io/intake"
	"dotterelgap/io/telem"
)

// NodeSettings are the settings of a node, from a JSON file with comments.
type NodeSettings struct {
	// Name is the name of the host in logs.
	Name string `json:"name"`
	// Place is the data centre that the node runs in.
	Place string `json:"place"`
	// Regions holds the region of each data centre. If it is empty, any data centre that a
	// node or an upstream names can be evacuated.
	Regions fleet.Regions `json:"regions"`
	// Listen is the address for callers, Ready the address for the balancer's
	// readiness probes, API the address for operators and upstreams, Internal the
	// address for the system's own processes.
	Listen   parse.Addr `json:"listen"`
	Ready    parse.Addr `json:"ready"`
	API      parse.Addr `json:"api"`
	Internal parse.Addr `json:"internal"`
	// Metrics is the address that serves metrics; empty for none.
	Metrics parse.Addr `json:"metrics"`
	// Seeds are the API addresses of nodes that are known in advance. Their internal
	// addresses have the same port as this node's.
	Seeds []parse.Addr `json:"seeds"`
	// DataDir is the data folder; only a node with one can be a control host.
	DataDir string `json:"data_dir"`
	// Bootstrap is set only for the very first start of the whole system.
	Bootstrap bool `json:"bootstrap"`
	// TolerateHosts, ToleratePlaces and TolerateRegions are the numbers of
	// simultaneous losses that the control group must survive.
	TolerateHosts   int `json:"tolerate_hosts"`
	ToleratePlaces  int `json:"tolerate_places"`
	TolerateRegions int `json:"tolerate_regions"`
	// MemoryMB is the memory that the process may use; 0 for no limit.
	MemoryMB int `json:"memory_mb"`
	// StopTimeout is the time after which the platform kills a process that it has
	// told to stop.
	StopTimeout parse.Duration `json:"stop_timeout"`
	// UploadIdle is how long the body of a request may make no progress.
	UploadIdle parse.Duration `json:"upload_idle"`
	// RetryRatio, RetryBurst and RetryWindow limit the retries of all nodes.
	RetryRatio  float64        `json:"retry_ratio"`
	RetryBurst  float64        `json:"retry_burst"`
	RetryWindow parse.Duration `json:"retry_window"`
	// ColdOverage and ColdBurst bound the requests that all nodes send to a cold upstream in one
	// second: its rate times ColdOverage, plus ColdBurst.
	ColdOverage float64 `json:"cold_overage"`
	ColdBurst   float64 `json:"cold_burst"`
	// LearnSpeeds estimates how fast engines are from their first tokens, and tells the other nodes.
	LearnSpeeds bool `json:"learn_speeds"`
	// EngineMemory keeps requests from engines whose KV memory has no room for them.
	EngineMemory bool `json:"engine_memory"`
	// Pace limits the requests to upstreams that have started or recovered.
	Pace bool `json:"pace"`
	// Admission is set if requests for services without prompts wait for a place at their
	// upstreams, in order of priority, and are rejected early if they would be late.
	Admission bool   `json:"admission"`
	LogLevel  string `json:"log_level"`
}

// Limits of a node's settings.
const (
	maxTolerate = 3
	// maxColdOverage and maxColdBurst are beyond what an upstream that needs a bound tolerates.
	maxColdOverage, maxColdBurst = 100, 10_000
	// memoryShare is the share of the memory from which on the runtime collects
	// garbage more often.
	memoryShare = 0.75
	// callerShare and operatorShare are the shares of the memory for the heads and bodies of callers'
	// requests, and of those to the API and the readiness address.
	callerShare   = 0.2
	operatorShare = 0.15
)

// readNodeSettings reads a settings file, applies the overrides and checks the result. The error
// lists all mistakes.
func readNodeSettings(file string, o *nodeOverrides) (*NodeSettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Message: err.Error()}
	}
	s := &NodeSettings{
		StopTimeout: parse.Duration(10 * time.Second), TolerateHosts: 1, LogLevel: "info",
		UploadIdle: parse.Duration(intake.DefaultIdle),
		RetryRatio: 0.2, RetryBurst: 50, RetryWindow: parse.Duration(10 * time.Second),
		ColdOverage: 1, LearnSpeeds: true,
	}
	ps := parse.Into(file, data, s)
	o.apply(s)
	s.check(ps)
	return s, ps.Err()
}

func (s *NodeSettings) check(ps *parse.Problems) {
	if s.Place == "" {
		ps.Add("place", "is required")
	}
	for place, region := range s.Regions {
		if place == "" || region == "" {
			ps.Add("regions", "names of places and regions must not be empty")
		}
	}
	if !s.Listen.IsValid() {
		ps.Add("listen", "is required")
	}
	if !s.Internal.IsValid() {
		ps.Add("internal", "is required")
	}
	for _, n := range []struct {
		key   string
		value int
	}{{"tolerate_hosts", s.TolerateHosts}, {"tolerate_places", s.ToleratePlaces}, {"tolerate_regions", s.TolerateRegions}} {
		if n.value < 0 || n.value > maxTolerate {
			ps.Add(n.key, "must be from 0 to %d", maxTolerate)
		}
	}
	if s.MemoryMB < 0 {
		ps.Add("memory_mb", "must not be negative")
	}
	if s.StopTimeout <= 0 {
		ps.Add("stop_timeout", "must be positive")
	}
	if s.UploadIdle <= 0 {
		ps.Add("upload_idle", "must be positive")
	}
	if s.RetryRatio < 0 || s.RetryBurst < 0 || s.RetryWindow <= 0 {
		ps.Add("retry_ratio", "retry_ratio and retry_burst must not be negative, retry_window must be positive")
	}
	// A flag can hold NaN, which no comparison accepts.
	if !(s.ColdOverage >= 0 && s.ColdOverage <= maxColdOverage) {
		ps.Add("cold_overage", "must be from 0 to %d, in the file and in the flag -cold-overage", maxColdOverage)
	}
	if !(s.ColdBurst >= 0 && s.ColdBurst <= maxColdBurst) {
		ps.Add("cold_burst", "must be from 0 to %d, in the file and in the flag -cold-burst", maxColdBurst)
	}
}

// size returns the number of control hosts that vote.
func (s *NodeSettings) size() int {
	return 2*max(s.TolerateHosts, s.ToleratePlaces, s.TolerateRegions) + 1
}

// seeds returns the internal addresses of the seeds.
func (s *NodeSettings) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range s.Seeds {
		out = append(out, netip.AddrPortFrom(a.Addr(), s.Internal.Port()))
	}
	return out
}

// memoryLimit returns the soft memory limit of the runtime, in bytes, for a process that may use this
// much memory; 0 means no limit.
func memoryLimit(memoryMB int) int64 {
	if memoryMB == 0 {
		return math.MaxInt64
	}
	return memoryPart(memoryShare, memoryMB)
}

// callerIntake returns the bounds on what callers send.
func (s *NodeSettings) callerIntake() intake.Options {
	return intake.Options{Memory: memoryPart(callerShare, s.MemoryMB), Idle: s.UploadIdle.Std()}
}

// operatorIntake returns the bounds on what operators and upstreams send to the API.
func (s *NodeSettings) operatorIntake() intake.Options {
	return intake.Options{Memory: memoryPart(operatorShare, s.MemoryMB), Idle: s.UploadIdle.Std()}
}

// memoryPart returns a share of the memory in bytes, or 0 if there is no limit.
func memoryPart(share float64, memoryMB int) int64 {
	return int64(share * float64(memoryMB) * (1 << 20))
}

func (s *NodeSettings) retry() front.RetryOptions {
	r := front.RetryOptions{Ratio: s.RetryRatio, Burst: s.RetryBurst, Window: s.RetryWindow.Std()}
	if !s.Bootstrap {
		r.BurstAfter = r.Window
	}
	return r
}

func (s *NodeSettings) sched() sched.Options {
	opts := sched.DefaultOptions()
	opts.ColdOverage, opts.ColdBurst = s.ColdOverage, s.ColdBurst
	opts.Pace, opts.GuardMemory, opts.LearnSpeeds = s.Pace, s.EngineMemory, s.LearnSpeeds
	return opts
}

func (s *NodeSettings) place() fleet.Place { return fleet.Place(s.Place) }

func (s *NodeSettings) telemetry() telem.Settings {
	return telem.Settings{LogLevel: s.LogLevel, Budget: telem.DefaultBudget()}
}
