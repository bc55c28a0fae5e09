// Package settings holds the static settings of a node: its addresses, its
// failure domain, its limits and its secrets. They are read once at start.
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
	// Name identifies the VM; it is unique in the deployment.
	Name          string   `json:"name"`
	FailureDomain string   `json:"failure_domain"`
	Listen        Listen   `json:"listen"`
	Platform      Platform `json:"platform"`
	Secrets       Secrets  `json:"secrets"`
	Limits        Limits   `json:"limits,omitzero"`
	Usage         Usage    `json:"usage,omitzero"`
	Routing       Routing  `json:"routing,omitzero"`
	Log           Log      `json:"log,omitzero"`
}

// Listen holds the addresses of the three listeners, as IP:port.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Platform says how to reach the platform.
type Platform struct {
	// Address is that of the platform's interfaces, as IP:port.
	Address string `json:"address"`
	// TimeoutSeconds bounds one call.
	TimeoutSeconds float64 `json:"timeout_s"`
	// ListLagSeconds is how far the VM list may lag behind.
	ListLagSeconds float64 `json:"list_lag_s"`
}

// Secrets are shared by all nodes of a deployment, which therefore must have
// equal ones.
type Secrets struct {
	// KeyDigest keys the digests of workspace keys.
	KeyDigest string `json:"key_digest"`
	// Peer authenticates nodes to each other. It may be empty only if the
	// peers' listener is on a loopback address.
	Peer string `json:"peer,omitempty"`
	// Operator authenticates operators. It may be empty only if the operators'
	// listener is on a loopback address.
	Operator string `json:"operator,omitempty"`
}

// Limits bound what one node takes from callers.
type Limits struct {
	MaxConnections        int     `json:"max_connections"`
	MaxHeaderBytes        int     `json:"max_header_bytes"`
	MaxBodyBytes          int64   `json:"max_body_bytes"`
	HeaderTimeoutSeconds  float64 `json:"header_timeout_s"`
	BodyTimeoutSeconds    float64 `json:"body_timeout_s"`
	WriteTimeoutSeconds   float64 `json:"write_timeout_s"`
	IdleTimeoutSeconds    float64 `json:"idle_timeout_s"`
	RequestTimeoutSeconds float64 `json:"request_timeout_s"`
	// StopTimeoutSeconds bounds how long a planned stop waits for running answers.
	StopTimeoutSeconds float64 `json:"stop_timeout_s"`
	MaxAttempts        int     `json:"max_attempts"`
}

// The routing policies. All but PolicyCost are baselines for experiments.
const (
	PolicyCost             = "cost"
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
	PolicyPrefixAffinity   = "prefix_affinity"
)

// Routing says how backend servers are chosen.
type Routing struct {
	Policy string `json:"policy"`
}

// Usage says how usage is reported. All nodes must have equal values.
type Usage struct {
	// WindowSeconds is the length of a usage window, a whole number of seconds.
	WindowSeconds int `json:"window_s"`
}

// UsageWindow returns the length of a usage window.
func (s *Settings) UsageWindow() time.Duration {
	return time.Duration(s.Usage.WindowSeconds) * time.Second
}

// Log says what is logged.
type Log struct {
	Verbose bool `json:"verbose"`
}

// Default returns settings with every limit set and no addresses.
func Default() Settings {
	return Settings{
		Platform: Platform{TimeoutSeconds: 2, ListLagSeconds: 30},
		Limits: Limits{
			MaxConnections: 4096, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 8 << 20,
			HeaderTimeoutSeconds: 5, BodyTimeoutSeconds: 30, WriteTimeoutSeconds: 30,
			IdleTimeoutSeconds: 90, RequestTimeoutSeconds: 300, StopTimeoutSeconds: 300,
			MaxAttempts: 3,
		},
		Usage:   Usage{WindowSeconds: 300},
		Routing: Routing{Policy: PolicyCost},
	}
}

// Load reads and checks the settings in a file. All problems are reported
// together as a *finding.Error.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, raw)
}

// Parse decodes and checks settings. Values that are left out get defaults.
func Parse(file string, raw []byte) (Settings, error) {
	s := Default()
	err := finding.Decode(file, raw, &s, func(findings *finding.List) { Validate(&s, findings) })
	if err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// JSONSchemaExtend makes no limit required, because each has a default.
func (Limits) JSONSchemaExtend(s *jsonschema.Schema) { s.Required = nil }

// JSONSchemaExtend requires the address only; the rest has defaults.
func (Platform) JSONSchemaExtend(s *jsonschema.Schema) { s.Required = []string{"address"} }

// JSONSchemaExtend requires nothing.
func (Log) JSONSchemaExtend(s *jsonschema.Schema) { s.Required = nil }
