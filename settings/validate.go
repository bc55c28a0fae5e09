package settings

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/inbound"
)

const (
	// minSecretBytes is the minimum length of a secret.
	minSecretBytes = 16
	// maxSeconds is the maximum of every duration. One day is longer than any
	// useful value and far below the overflow of time.Duration at 292 years.
	maxSeconds = 86_400
	// maxConnections is above the file descriptor limit of a small VM.
	maxConnections = 1 << 20
	// maxBytes is the maximum that can be set for the size of headers and bodies.
	maxBytes = 1 << 30
	// maxMemoryMB is the maximum that can be set for Limits.MemoryMB.
	maxMemoryMB = 1 << 20
	// maxAttempts is the maximum that can be set for Limits.MaxAttempts.
	maxAttempts = 100
)

// namePattern matches valid names of VMs and failure domains. The names appear
// in store keys and logs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Validate adds a finding for every invalid setting.
func Validate(s *Settings, findings *finding.List) {
	v := validator{findings}
	v.checkName("$.name", s.Name)
	v.checkName("$.failure_domain", s.FailureDomain)
	v.checkListeners(&s.Listen)
	v.checkPlatform(&s.Platform)
	v.checkSecret("$.secrets.key_digest", s.Secrets.KeyDigest)
	v.checkSecretUnlessLoopback("$.secrets.peer", s.Secrets.Peer, s.Listen.Peers)
	v.checkSecretUnlessLoopback("$.secrets.operator", s.Secrets.Operator, s.Listen.Operators)
	v.checkLimits(&s.Limits)
	v.checkPositive("$.usage.window_s", float64(s.Usage.WindowSeconds), maxSeconds)
	v.checkPolicy(s.Routing.Policy)
}

// validator collects the findings of the checks.
type validator struct {
	findings *finding.List
}

func (v validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		v.findings.Addf(path, "%q is not a name: use lower-case letters, digits, '.', '_' and '-', at most 63", name)
	}
}

// checkListeners checks that the listeners have valid, distinct addresses. With
// port 0 the operating system chooses a free port, so several listeners may use
// it.
func (v validator) checkListeners(l *Listen) {
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

func (v validator) checkPlatform(p *Platform) {
	address, err := parseAddress(p.Address)
	switch {
	case err != nil:
		v.findings.Addf("$.platform.address", "%v", err)
	case address.Port() == 0:
		v.findings.Addf("$.platform.address", "the port must not be 0")
	}
	v.checkPositive("$.platform.timeout_s", p.TimeoutSeconds, maxSeconds)
	if p.ListLagSeconds < 0 || p.ListLagSeconds > maxSeconds {
		v.findings.Addf("$.platform.list_lag_s", "must be from 0 to %d", maxSeconds)
	}
}

func (v validator) checkLimits(l *Limits) {
	v.checkPositive("$.limits.max_connections", float64(l.MaxConnections), maxConnections)
	v.checkPositive("$.limits.memory_mb", float64(l.MemoryMB), maxMemoryMB)
	v.checkBodyFits(l)
	v.checkPositive("$.limits.max_header_bytes", float64(l.MaxHeaderBytes), maxBytes)
	v.checkPositive("$.limits.max_body_bytes", float64(l.MaxBodyBytes), maxBytes)
	v.checkPositive("$.limits.header_timeout_s", l.HeaderTimeoutSeconds, maxSeconds)
	v.checkPositive("$.limits.body_timeout_s", l.BodyTimeoutSeconds, maxSeconds)
	v.checkPositive("$.limits.write_timeout_s", l.WriteTimeoutSeconds, maxSeconds)
	v.checkPositive("$.limits.idle_timeout_s", l.IdleTimeoutSeconds, maxSeconds)
	v.checkPositive("$.limits.request_timeout_s", l.RequestTimeoutSeconds, maxSeconds)
	v.checkPositive("$.limits.stop_timeout_s", l.StopTimeoutSeconds, maxSeconds)
	v.checkPositive("$.limits.max_attempts", float64(l.MaxAttempts), maxAttempts)
}

// checkBodyFits checks that the memory has room for the largest body, which would be refused otherwise.
func (v validator) checkBodyFits(l *Limits) {
	if limit := inbound.MemoryMB(l.MemoryMB).MaxDecodedBodyBytes(); l.MemoryMB > 0 && l.MaxBodyBytes > limit {
		v.findings.Addf("$.limits.max_body_bytes", "must be at most %d with a memory_mb of %d", max(0, limit), l.MemoryMB)
	}
}

func (v validator) checkPolicy(name string) {
	switch name {
	case PolicyCost, PolicyRoundRobin, PolicyLeastOutstanding, PolicyPrefixAffinity:
	default:
		v.findings.Addf("$.routing.policy", "%q is not a policy: use %q, %q, %q or %q", name,
			PolicyCost, PolicyRoundRobin, PolicyLeastOutstanding, PolicyPrefixAffinity)
	}
}

// checkPositive adds a finding unless value is greater than 0 and at most
// maximum.
func (v validator) checkPositive(path string, value float64, maximum int) {
	if value <= 0 || value > float64(maximum) {
		v.findings.Addf(path, "must be greater than 0 and at most %d", maximum)
	}
}

func (v validator) checkSecret(path, value string) {
	if len(value) < minSecretBytes {
		v.findings.Addf(path, "must have at least %d bytes", minSecretBytes)
	}
}

// checkSecretUnlessLoopback requires a secret unless the listener is on a
// loopback address. An invalid address is reported separately, so it doesn't
// require a secret either. A secret that is set must always be long enough.
func (v validator) checkSecretUnlessLoopback(path, value, listen string) {
	_, err := parseAddress(listen)
	if value == "" && (err != nil || IsLoopback(listen)) {
		return
	}
	v.checkSecret(path, value)
}

// parseAddress parses IP:port. Host names and service names such as "http" are
// errors.
func parseAddress(s string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%q is not an address: use IP:port", s)
	}
	return address, nil
}

// IsLoopback reports whether address is an IP:port with a loopback IP address.
func IsLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}
