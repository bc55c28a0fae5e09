// Package settings holds the static settings of a node: its addresses, its
// failure domain, its limits and its secrets. They are read once at start.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/figweir/figweir/config"
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
	Limits        Limits   `json:"limits"`
	Log           Log      `json:"log"`
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

// Secrets are shared by all nodes of a deployment.
type Secrets struct {
	// KeyDigest keys the digests of workspace keys.
	KeyDigest string `json:"key_digest"`
	// Peer authenticates nodes to each other.
	Peer string `json:"peer"`
	// Operator authenticates operators.
	Operator string `json:"operator"`
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
	}
}

// minSecretBytes is the least length of a secret.
const minSecretBytes = 16

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
	findings := &finding.List{File: file}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		findings.Addf("$", "%v", err)
		return Settings{}, findings.Err()
	}
	Validate(&s, findings)
	return s, findings.Err()
}

// Validate adds a finding for every setting that can't be used.
func Validate(s *Settings, findings *finding.List) {
	if s.Name == "" {
		findings.Addf("$.name", "must not be empty")
	}
	if s.FailureDomain == "" {
		findings.Addf("$.failure_domain", "must not be empty")
	}
	address(findings, "$.listen.callers", s.Listen.Callers)
	address(findings, "$.listen.peers", s.Listen.Peers)
	address(findings, "$.listen.operators", s.Listen.Operators)
	address(findings, "$.platform.address", s.Platform.Address)
	secret(findings, "$.secrets.key_digest", s.Secrets.KeyDigest)
	needsSecret(findings, "$.secrets.peer", s.Secrets.Peer, s.Listen.Peers)
	needsSecret(findings, "$.secrets.operator", s.Secrets.Operator, s.Listen.Operators)
	limits(findings, &s.Limits)
	positive(findings, "$.platform.timeout_s", s.Platform.TimeoutSeconds)
	if s.Platform.ListLagSeconds < 0 {
		findings.Addf("$.platform.list_lag_s", "must not be negative")
	}
}

func limits(findings *finding.List, l *Limits) {
	positive(findings, "$.limits.max_connections", float64(l.MaxConnections))
	positive(findings, "$.limits.max_header_bytes", float64(l.MaxHeaderBytes))
	positive(findings, "$.limits.max_body_bytes", float64(l.MaxBodyBytes))
	positive(findings, "$.limits.header_timeout_s", l.HeaderTimeoutSeconds)
	positive(findings, "$.limits.body_timeout_s", l.BodyTimeoutSeconds)
	positive(findings, "$.limits.write_timeout_s", l.WriteTimeoutSeconds)
	positive(findings, "$.limits.idle_timeout_s", l.IdleTimeoutSeconds)
	positive(findings, "$.limits.request_timeout_s", l.RequestTimeoutSeconds)
	positive(findings, "$.limits.stop_timeout_s", l.StopTimeoutSeconds)
	positive(findings, "$.limits.max_attempts", float64(l.MaxAttempts))
}

func positive(findings *finding.List, path string, v float64) {
	if v <= 0 {
		findings.Addf(path, "must be greater than 0")
	}
}

func address(findings *finding.List, path, value string) {
	if err := config.CheckAddress(value); err != nil {
		findings.Addf(path, "%v", err)
	}
}

func secret(findings *finding.List, path, value string) {
	if len(value) < minSecretBytes {
		findings.Addf(path, "must have at least %d bytes", minSecretBytes)
	}
}

// needsSecret requires a secret unless the listener is on a loopback address.
func needsSecret(findings *finding.List, path, value, listen string) {
	if value == "" && IsLoopback(listen) {
		return
	}
	secret(findings, path, value)
}

// IsLoopback reports whether an IP:port is on a loopback address.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
