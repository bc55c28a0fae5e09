// Package settings defines the static settings of a node: its addresses, its
// failure domain, its limits and its secrets. They are read once at startup.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/invopop/jsonschema"

	"github.com/figweir/figweir/finding"
)

// Settings are the static settings of one node.
type Settings struct {
	// Name is the name of the VM. It must be unique in the deployment.
	Name string `json:"name"`
	// FailureDomain is the failure domain that the VM is in.
	FailureDomain string   `json:"failure_domain"`
	Listen        Listen   `json:"listen"`
	Platform      Platform `json:"platform"`
	Secrets       Secrets  `json:"secrets"`
	Limits        Limits   `json:"limits,omitzero"`
	Usage         Usage    `json:"usage,omitzero"`
	Routing       Routing  `json:"routing,omitzero"`
	Log           Log      `json:"log,omitzero"`
}

// Listen holds the addresses of the listeners for callers, for other nodes and
// for operators, as IP:port.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Platform holds the settings for calls to the platform.
type Platform struct {
	// Address is the address of the platform's APIs, as IP:port.
	Address string `json:"address"`
	// TimeoutSeconds is the timeout of one call.
	TimeoutSeconds float64 `json:"timeout_s"`
	// ListLagSeconds is the maximum time by which the platform's VM list may be
	// out of date.
	ListLagSeconds float64 `json:"list_lag_s"`
}

// Secrets holds the secrets that all nodes of a deployment share. They must be
// equal on every node.
type Secrets struct {
	// KeyDigest is the HMAC key for the digests of workspace keys.
	KeyDigest string `json:"key_digest"`
	// Peer authenticates nodes to each other. It may be empty only if the peer
	// listener is on a loopback address.
	Peer string `json:"peer,omitempty"`
	// Operator authenticates operators. It may be empty only if the operator
	// listener is on a loopback address.
	Operator string `json:"operator,omitempty"`
}

// Limits holds the connection and request limits of one node.
type Limits struct {
	// MaxConnections is the maximum number of open connections on all listeners together.
	MaxConnections int `json:"max_connections"`
	// MemoryMB is the memory of the VM in megabytes. It bounds what clients send on all listeners
	// together, the answers that are collected, and the heap.
	MemoryMB int `json:"memory_mb"`
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of the header and
	// the body of a request.
	MaxHeaderBytes int   `json:"max_header_bytes"`
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	// HeaderTimeoutSeconds and BodyTimeoutSeconds limit how long a client may
	// take to send the header and the body of a request.
	HeaderTimeoutSeconds float64 `json:"header_timeout_s"`
	BodyTimeoutSeconds   float64 `json:"body_timeout_s"`
	// WriteTimeoutSeconds is the timeout of each write to a caller.
	WriteTimeoutSeconds float64 `json:"write_timeout_s"`
	// IdleTimeoutSeconds is how long an idle connection is kept open.
	IdleTimeoutSeconds float64 `json:"idle_timeout_s"`
	// RequestTimeoutSeconds is the timeout of a complete request.
	RequestTimeoutSeconds float64 `json:"request_timeout_s"`
	// StopTimeoutSeconds limits how long a planned shutdown waits for running
	// responses.
	StopTimeoutSeconds float64 `json:"stop_timeout_s"`
	// MaxAttempts is the maximum number of engines that one model request may
	// try.
	MaxAttempts int `json:"max_attempts"`
}

// The routing policies. PolicyCost is for production; the others are baselines
// for experiments.
const (
	PolicyCost             = "cost"
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
	PolicyPrefixAffinity   = "prefix_affinity"
)

// Routing selects the policy by which backend servers are chosen.
type Routing struct {
	Policy string `json:"policy"`
}

// Usage configures the reporting of usage. All nodes must have equal values.
type Usage struct {
	// WindowSeconds is the length of a usage window.
	WindowSeconds int `json:"window_s"`
}

// UsageWindow returns the length of a usage window.
func (s *Settings) UsageWindow() time.Duration {
	return time.Duration(s.Usage.WindowSeconds) * time.Second
}

// Log configures logging.
type Log struct {
	// Verbose enables events of verbosity level 1, which are for debugging.
	Verbose bool `json:"verbose"`
}

// Default returns settings with the default of every optional value. Names,
// addresses and secrets are empty.
func Default() Settings {
	return Settings{
		Platform: Platform{TimeoutSeconds: 2, ListLagSeconds: 30},
		Limits: Limits{
			MaxConnections: 4096, MemoryMB: 512, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 8 << 20,
			HeaderTimeoutSeconds: 5, BodyTimeoutSeconds: 30, WriteTimeoutSeconds: 30,
			IdleTimeoutSeconds: 90, RequestTimeoutSeconds: 300, StopTimeoutSeconds: 300,
			MaxAttempts: 3,
		},
		Usage:   Usage{WindowSeconds: 300},
		Routing: Routing{Policy: PolicyCost},
	}
}

// Load reads and validates a settings file. It reports all problems in one
// *finding.Error.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, raw)
}

// Parse decodes and validates settings. Omitted values keep their defaults. It
// reports all problems in one *finding.Error.
func Parse(file string, raw []byte) (Settings, error) {
	s := Default()
	err := finding.Decode(file, raw, &s, func(findings *finding.List) { Validate(&s, findings) })
	if err != nil {
		return Settings{}, err
	}
	return s, nil
}

// SecondsToDuration converts a number of seconds to a time.Duration.
func SecondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// JSONSchemaExtend makes all limits optional, because each has a default.
func (Limits) JSONSchemaExtend(s *jsonschema.Schema) { s.Required = nil }

// JSONSchemaExtend requires only the address; the other fields have defaults.
func (Platform) JSONSchemaExtend(s *jsonschema.Schema) { s.Required = []string{"address"} }

// JSONSchemaExtend makes all fields optional.
func (Log) JSONSchemaExtend(s *jsonschema.Schema) { s.Required = nil }
