package settings

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/figweir/figweir/finding"
)

const (
	// minSecretBytes is the least length of a secret.
	minSecretBytes = 16
	// maxSeconds bounds every duration: a day is longer than any that makes
	// sense, and far from the overflow of time.Duration at 292 years.
	maxSeconds = 86_400
	// maxConnections is more than the file descriptors that a small VM allows.
	maxConnections = 1 << 20
	// maxBytes bounds the sizes of headers and bodies.
	maxBytes = 1 << 30
	// maxAttempts bounds how often one request may be tried.
	maxAttempts = 100
)

// namePattern is what names of VMs and failure domains may look like; they
// appear in store keys and log lines.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Validate adds a finding for every setting that can't be used.
func Validate(s *Settings, findings *finding.List) {
	v := validator{findings}
	v.name("$.name", s.Name)
	v.name("$.failure_domain", s.FailureDomain)
	v.listeners(&s.Listen)
	v.platform(&s.Platform)
	v.secret("$.secrets.key_digest", s.Secrets.KeyDigest)
	v.secretUnlessLoopback("$.secrets.peer", s.Secrets.Peer, s.Listen.Peers)
	v.secretUnlessLoopback("$.secrets.operator", s.Secrets.Operator, s.Listen.Operators)
	v.limits(&s.Limits)
	v.positive("$.usage.window_s", float64(s.Usage.WindowSeconds), maxSeconds)
	v.policy(s.Routing.Policy)
}

type validator struct {
	findings *finding.List
}

func (v validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.findings.Addf(path, "%q is not a name: use lower-case letters, digits, '.', '_' and '-', at most 63", name)
	}
}

// listeners checks the three addresses. Port 0 lets the system choose a port,
// so several listeners may have it.
func (v validator) listeners(l *Listen) {
	seen := make(map[netip.AddrPort]string)
	for _, listener := range []struct{ path, address string }{
		{"$.listen.callers", l.Callers}, {"$.listen.peers", l.Peers}, {"$.listen.operators", l.Operators},
	} {
		address, err := parseAddress(listener.address)
		if err != nil {
			v.findings.Addf(listener.path, "%v", err)
			continue
		}
		if other, ok := seen[address]; ok && address.Port() != 0 {
			v.findings.Addf(listener.path, "%s is also the address at %s", address, other)
		}
		seen[address] = listener.path
	}
}

func (v validator) platform(p *Platform) {
	address, err := parseAddress(p.Address)
	switch {
	case err != nil:
		v.findings.Addf("$.platform.address", "%v", err)
	case address.Port() == 0:
		v.findings.Addf("$.platform.address", "the port must not be 0")
	}
	v.positive("$.platform.timeout_s", p.TimeoutSeconds, maxSeconds)
	if p.ListLagSeconds < 0 || p.ListLagSeconds > maxSeconds {
		v.findings.Addf("$.platform.list_lag_s", "must be from 0 to %d", maxSeconds)
	}
}

func (v validator) limits(l *Limits) {
	v.positive("$.limits.max_connections", float64(l.MaxConnections), maxConnections)
	v.positive("$.limits.max_header_bytes", float64(l.MaxHeaderBytes), maxBytes)
	v.positive("$.limits.max_body_bytes", float64(l.MaxBodyBytes), maxBytes)
	v.positive("$.limits.header_timeout_s", l.HeaderTimeoutSeconds, maxSeconds)
	v.positive("$.limits.body_timeout_s", l.BodyTimeoutSeconds, maxSeconds)
	v.positive("$.limits.write_timeout_s", l.WriteTimeoutSeconds, maxSeconds)
	v.positive("$.limits.idle_timeout_s", l.IdleTimeoutSeconds, maxSeconds)
	v.positive("$.limits.request_timeout_s", l.RequestTimeoutSeconds, maxSeconds)
	v.positive("$.limits.stop_timeout_s", l.StopTimeoutSeconds, maxSeconds)
	v.positive("$.limits.max_attempts", float64(l.MaxAttempts), maxAttempts)
}

func (v validator) policy(name string) {
	switch name {
	case PolicyCost, PolicyRoundRobin, PolicyLeastOutstanding, PolicyPrefixAffinity:
	default:
		v.findings.Addf("$.routing.policy", "%q is not a policy: use %q, %q, %q or %q", name,
			PolicyCost, PolicyRoundRobin, PolicyLeastOutstanding, PolicyPrefixAffinity)
	}
}

func (v validator) positive(path string, value float64, most int) {
	if value <= 0 || value > float64(most) {
		v.findings.Addf(path, "must be greater than 0 and at most %d", most)
	}
}

func (v validator) secret(path, value string) {
	if len(value) < minSecretBytes {
		v.findings.Addf(path, "must have at least %d bytes", minSecretBytes)
	}
}

// secretUnlessLoopback requires a secret unless the listener is on a loopback
// address or the address can't be read, which is a finding of its own. A secret
// that is given must be long enough in any case.
func (v validator) secretUnlessLoopback(path, value, listen string) {
	_, err := parseAddress(listen)
	if value == "" && (err != nil || IsLoopback(listen)) {
		return
	}
	v.secret(path, value)
}

// parseAddress parses IP:port. It takes no host names and no names of ports.
func parseAddress(s string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%q is not an address: use IP:port", s)
	}
	return address, nil
}

// IsLoopback reports whether an IP:port is on a loopback address.
func IsLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}
