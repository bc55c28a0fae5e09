package config

import (
	"fmt"
	"net"
	"regexp"

	"github.com/figweir/figweir/finding"
)

// namePattern matches valid names of workspaces, pools, services, backend
// servers and failure domains. The names appear in URLs, store keys and logs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// digestPattern matches the hexadecimal form of an HMAC-SHA-256.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Validate adds a finding for every invalid value in the document.
func Validate(d *Document, findings *finding.List) {
	v := validator{doc: d, findings: findings}
	v.checkObjectives()
	v.checkPools()
	v.checkServices()
	v.checkWorkspaces()
	v.checkServers()
	v.checkRules()
}

// validator checks a document and collects the findings.
type validator struct {
	doc      *Document
	findings *finding.List
}

// checkName adds a finding if the name is invalid or already in seen, and adds
// the name to seen.
func (v *validator) checkName(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.findings.Addf(path+".name", "%q is not a name: use lower-case letters, digits, '.', '_' and '-', at most 63", name)
		return
	}
	if seen[name] {
		v.findings.Addf(path+".name", "%q is used twice", name)
	}
	seen[name] = true
}

func (v *validator) checkObjectives() {
	o := v.doc.Objectives
	if o.FirstTokenSeconds <= 0 {
		v.findings.Addf("$.objectives.first_token_s", "must be greater than 0")
	}
	if o.BetweenTokensSeconds <= 0 {
		v.findings.Addf("$.objectives.between_tokens_s", "must be greater than 0")
	}
	if o.TargetRatio <= 0 || o.TargetRatio >= 1 {
		v.findings.Addf("$.objectives.target_ratio", "must be between 0 and 1, both excluded")
	}
}

func (v *validator) checkPools() {
	seen := make(map[string]bool)
	for i, p := range v.doc.Pools {
		path := fmt.Sprintf("$.pools[%d]", i)
		v.checkName(path, p.Name, seen)
		switch p.Kind {
		case KindEngine:
			if len(p.Models) == 0 {
				v.findings.Addf(path+".models", "an engine pool needs at least one model")
			}
			if p.KVBlocks <= 0 {
				v.findings.Addf(path+".kv_blocks", "must be greater than 0")
			}
			if p.KVBlockTokens <= 0 {
				v.findings.Addf(path+".kv_block_tokens", "must be greater than 0")
			}
		case KindService:
			if len(p.Models) > 0 {
				v.findings.Addf(path+".models", "a service pool has no models")
			}
		default:
			v.findings.Addf(path+".kind", "%q is not a kind: use %q or %q", p.Kind, KindEngine, KindService)
		}
	}
}

// findPool returns the pool with this name. If there is none, it adds a finding
// at path and returns nil.
func (v *validator) findPool(path, name string) *Pool {
	for i := range v.doc.Pools {
		if v.doc.Pools[i].Name == name {
			return &v.doc.Pools[i]
		}
	}
	v.findings.Addf(path, "there is no pool %q", name)
	return nil
}

func (v *validator) checkServices() {
	seen := make(map[string]bool)
	for i, s := range v.doc.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		v.checkName(path, s.Name, seen)
		if p := v.findPool(path+".pool", s.Pool); p != nil && p.Kind != KindService {
			v.findings.Addf(path+".pool", "pool %q is of kind %q, a service needs kind %q", s.Pool, p.Kind, KindService)
		}
		if s.TimeoutSeconds <= 0 {
			v.findings.Addf(path+".timeout_s", "must be greater than 0")
		}
	}
}

func (v *validator) checkWorkspaces() {
	seen := make(map[string]bool)
	keyIDs := make(map[string]bool)
	services := make(map[string]bool)
	for _, s := range v.doc.Services {
		services[s.Name] = true
	}
	for i, w := range v.doc.Workspaces {
		path := fmt.Sprintf("$.workspaces[%d]", i)
		v.checkName(path, w.Name, seen)
		if w.Weight <= 0 {
			v.findings.Addf(path+".weight", "must be greater than 0")
		}
		for j, k := range w.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			if k.ID == "" {
				v.findings.Addf(keyPath+".id", "must not be empty")
			}
			if keyIDs[k.ID] {
				v.findings.Addf(keyPath+".id", "%q is used twice", k.ID)
			}
			keyIDs[k.ID] = true
			if !digestPattern.MatchString(k.Digest) {
				v.findings.Addf(keyPath+".digest", "must be 64 hexadecimal digits")
			}
		}
		for j, name := range w.Services {
			if !services[name] {
				v.findings.Addf(fmt.Sprintf("%s.services[%d]", path, j), "there is no service %q", name)
			}
		}
	}
}

func (v *validator) checkServers() {
	seen := make(map[string]bool)
	for i, b := range v.doc.BackendServers {
		path := fmt.Sprintf("$.backend_servers[%d]", i)
		v.checkName(path, b.Name, seen)
		v.findPool(path+".pool", b.Pool)
		if !namePattern.MatchString(b.FailureDomain) {
			v.findings.Addf(path+".failure_domain", "%q is not a name", b.FailureDomain)
		}
		if err := CheckAddress(b.Address); err != nil {
			v.findings.Addf(path+".address", "%v", err)
		}
		switch b.Class {
		case "", ClassStandard, ClassReclaimable:
		default:
			v.findings.Addf(path+".class", "%q is not a class: use %q or %q", b.Class, ClassStandard, ClassReclaimable)
		}
	}
}

func (v *validator) checkRules() {
	for i, r := range v.doc.Rules {
		path := fmt.Sprintf("$.rules[%d]", i)
		v.findPool(path+".pool", r.Pool)
		if r.MinServers < 0 || r.MaxServers < r.MinServers {
			v.findings.Addf(path+".max_servers", "must be at least min_servers, and min_servers at least 0")
		}
		if r.MaxReclaimable > r.MaxServers {
			v.findings.Addf(path+".max_reclaimable", "must not exceed max_servers")
		}
		if r.MinPrefill+r.MinDecode > r.MaxServers {
			v.findings.Addf(path+".min_prefill", "min_prefill and min_decode together must not exceed max_servers")
		}
	}
}

// CheckAddress returns an error unless s is an IP address with a port.
func CheckAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("%q is not an address: use IP:port", s)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}
