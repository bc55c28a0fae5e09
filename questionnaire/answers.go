// Package questionnaire generates a deployment from a new team's answers: a
// configuration document, settings for every node and settings for the
// stand-ins.
package questionnaire

import (
	"fmt"
	"net/netip"

	"github.com/figweir/figweir/finding"
)

// Answers holds the answers to all questions. The questions, with their meaning,
// unit, default and bounds, are derived from the struct tags. An optional number
// that is 0 is replaced by its default.
type Answers struct {
	Deployment     string        `json:"deployment" jsonschema:"pattern=^[a-z0-9][a-z0-9-]{0\\,30}$" jsonschema_description:"Short name of the deployment."`
	FailureDomains []string      `json:"failure_domains" jsonschema:"minItems=1,maxItems=16,pattern=^[a-z0-9][a-z0-9._-]{0\\,62}$" jsonschema_description:"Failure domains that hold VMs and backend servers. Servers and VMs are spread over them in this order."`
	EntryVMs       int           `json:"entry_vms" jsonschema:"minimum=1,maximum=490" jsonschema_description:"Number of VMs that run a node." jsonschema_extras:"unit=VMs"`
	IP             string        `json:"ip,omitempty" jsonschema:"default=127.0.0.1" jsonschema_description:"IP address that all processes get. With 127.0.0.1 the deployment runs on one machine; replace the addresses in the generated files for other machines."`
	FirstPort      int           `json:"first_port,omitempty" jsonschema:"minimum=1024,maximum=60000,default=7400" jsonschema_description:"First port. The platform stand-in gets it, and all other listeners get the ports after it." jsonschema_extras:"unit=port number"`
	Platform       string        `json:"platform,omitempty" jsonschema_description:"Address of the platform as IP:port. If it is left out, the platform stand-in on the first port is used."`
	Objectives     Objectives    `json:"objectives,omitzero" jsonschema_description:"Service-level objectives of model requests."`
	ModelPools     []ModelPool   `json:"model_pools" jsonschema:"maxItems=32" jsonschema_description:"Pools of engines."`
	ServicePools   []ServicePool `json:"service_pools" jsonschema:"maxItems=64" jsonschema_description:"Plain services. Each gets a pool of its own with the same name."`
	Workspaces     []Workspace   `json:"workspaces" jsonschema:"minItems=1,maxItems=2300" jsonschema_description:"Businesses that share the fleet."`
}

// Objectives are the service-level objectives of model requests.
type Objectives struct {
	FirstTokenSeconds    float64 `json:"first_token_s,omitempty" jsonschema:"exclusiveMinimum=0,maximum=600,default=0.54" jsonschema_description:"Longest acceptable time to the first token." jsonschema_extras:"unit=s"`
	BetweenTokensSeconds float64 `json:"between_tokens_s,omitempty" jsonschema:"exclusiveMinimum=0,maximum=60,default=0.03" jsonschema_description:"Longest acceptable time between two tokens." jsonschema_extras:"unit=s"`
	TargetRatio          float64 `json:"target_ratio,omitempty" jsonschema:"exclusiveMinimum=0,exclusiveMaximum=1,default=0.95" jsonschema_description:"Share of requests that must meet both objectives." jsonschema_extras:"unit=ratio"`
}

// ModelPool describes a pool of engines.
type ModelPool struct {
	Name                    string   `json:"name" jsonschema:"pattern=^[a-z0-9][a-z0-9._-]{0\\,40}$" jsonschema_description:"Name of the pool."`
	Models                  []string `json:"models" jsonschema:"minItems=1,maxItems=32" jsonschema_description:"Models that the engines of the pool serve."`
	Servers                 int      `json:"servers" jsonschema:"minimum=1,maximum=1500" jsonschema_description:"Number of engines at the start." jsonschema_extras:"unit=backend servers"`
	KVBlocks                int      `json:"kv_blocks,omitempty" jsonschema:"minimum=1,maximum=10000000,default=4000" jsonschema_description:"KV memory of one engine." jsonschema_extras:"unit=blocks"`
	KVBlockTokens           int      `json:"kv_block_tokens,omitempty" jsonschema:"minimum=1,maximum=4096,default=16" jsonschema_description:"Size of a KV block." jsonschema_extras:"unit=tokens"`
	ChecksFencing           bool     `json:"checks_fencing,omitempty" jsonschema:"default=false" jsonschema_description:"Whether the engines refuse orders with an old fencing token."`
	MaxServersPerDomain     int      `json:"max_servers_per_failure_domain,omitempty" jsonschema:"minimum=1,maximum=1500" jsonschema_description:"Most engines in one failure domain. If it is left out, twice the number at the start." jsonschema_extras:"unit=backend servers"`
	MaxReclaimablePerDomain int      `json:"max_reclaimable_per_failure_domain,omitempty" jsonschema:"minimum=0,maximum=1500,default=0" jsonschema_description:"How many of them may be of the cheaper class that can be reclaimed." jsonschema_extras:"unit=backend servers"`
}

// ServicePool describes a plain service and its pool of servers.
type ServicePool struct {
	Name              string   `json:"name" jsonschema:"pattern=^[a-z0-9][a-z0-9._-]{0\\,40}$" jsonschema_description:"Name of the service and of its pool."`
	Servers           int      `json:"servers" jsonschema:"minimum=1,maximum=1500" jsonschema_description:"Number of servers." jsonschema_extras:"unit=backend servers"`
	TimeoutSeconds    float64  `json:"timeout_s,omitempty" jsonschema:"exclusiveMinimum=0,maximum=3600,default=10" jsonschema_description:"Longest time that one call may take." jsonschema_extras:"unit=s"`
	IdempotentMethods []string `json:"idempotent_methods,omitempty" jsonschema:"enum=GET,enum=HEAD,enum=OPTIONS,enum=PUT,enum=DELETE,enum=POST,enum=PATCH,default=GET" jsonschema_description:"HTTP methods that may be retried. All other calls are sent at most once."`
	Open              bool     `json:"open,omitempty" jsonschema:"default=false" jsonschema_description:"Whether calls are let through without a key."`
}

// Workspace describes the workspace of one business.
type Workspace struct {
	Name   string  `json:"name" jsonschema:"pattern=^[a-z0-9][a-z0-9._-]{0\\,40}$" jsonschema_description:"Name of the workspace."`
	Weight float64 `json:"weight,omitempty" jsonschema:"exclusiveMinimum=0,maximum=1000,default=1" jsonschema_description:"Share of the fleet relative to other workspaces. A large workspace has several times the weight of a small one." jsonschema_extras:"unit=relative"`
	Keys   int     `json:"keys,omitempty" jsonschema:"minimum=1,maximum=10,default=1" jsonschema_description:"Number of keys to generate." jsonschema_extras:"unit=keys"`
}

// Parse decodes and validates answers. Omitted answers get their defaults. It
// reports all problems in one *finding.Error.
func Parse(file string, raw []byte) (*Answers, error) {
	var a Answers
	err := finding.Decode(file, raw, &a, func(findings *finding.List) {
		a.setDefaults()
		a.validate(findings)
	})
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// Defaults of omitted answers. They must equal those in the struct tags.
const (
	defaultIP            = "127.0.0.1"
	defaultFirstPort     = 7400
	defaultFirstToken    = 0.54
	defaultBetweenTokens = 0.03
	defaultTargetRatio   = 0.95
	defaultKVBlocks      = 4000
	defaultKVBlockTokens = 16
	defaultTimeout       = 10
	defaultMethod        = "GET"
	defaultWeight        = 1
	defaultKeys          = 1
)

// setDefaults sets every omitted answer that has a default.
func (a *Answers) setDefaults() {
	setDefault(&a.IP, defaultIP)
	setDefault(&a.FirstPort, defaultFirstPort)
	setDefault(&a.Objectives.FirstTokenSeconds, defaultFirstToken)
	setDefault(&a.Objectives.BetweenTokensSeconds, defaultBetweenTokens)
	setDefault(&a.Objectives.TargetRatio, defaultTargetRatio)
	for i := range a.ModelPools {
		setDefault(&a.ModelPools[i].KVBlocks, defaultKVBlocks)
		setDefault(&a.ModelPools[i].KVBlockTokens, defaultKVBlockTokens)
	}
	for i := range a.ServicePools {
		setDefault(&a.ServicePools[i].TimeoutSeconds, defaultTimeout)
		if a.ServicePools[i].IdempotentMethods == nil {
			a.ServicePools[i].IdempotentMethods = []string{defaultMethod}
		}
	}
	for i := range a.Workspaces {
		setDefault(&a.Workspaces[i].Weight, defaultWeight)
		setDefault(&a.Workspaces[i].Keys, defaultKeys)
	}
}

// setDefault sets the field to value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate adds findings for the constraints that the schema doesn't express:
// address formats and constraints between several answers.
func (a *Answers) validate(findings *finding.List) {
	if _, err := netip.ParseAddr(a.IP); err != nil {
		findings.Addf("$.ip", "%q is not an IP address", a.IP)
	}
	if a.Platform != "" {
		if address, err := netip.ParseAddrPort(a.Platform); err != nil || address.Port() == 0 {
			findings.Addf("$.platform", "%q is not an address: use IP:port", a.Platform)
		}
	}
	domains := make(map[string]bool)
	for i, name := range a.FailureDomains {
		checkUnique(findings, fmt.Sprintf("$.failure_domains[%d]", i), name, domains)
	}
	pools, models := make(map[string]bool), make(map[string]bool)
	for i, p := range a.ModelPools {
		checkUnique(findings, fmt.Sprintf("$.model_pools[%d].name", i), p.Name, pools)
		for j, model := range p.Models {
			checkUnique(findings, fmt.Sprintf("$.model_pools[%d].models[%d]", i, j), model, models)
		}
		if p.MaxServersPerDomain > 0 && len(a.FailureDomains) > 0 {
			a.validateMaxServers(findings, i)
		}
	}
	for i, p := range a.ServicePools {
		checkUnique(findings, fmt.Sprintf("$.service_pools[%d].name", i), p.Name, pools)
	}
	workspaces := make(map[string]bool)
	for i, w := range a.Workspaces {
		checkUnique(findings, fmt.Sprintf("$.workspaces[%d].name", i), w.Name, workspaces)
	}
	if last := a.FirstPort + a.portCount(); last > maxPort {
		findings.Addf("$.first_port", "the listeners need %d ports, so the last would be %d", a.portCount(), last)
	}
}

// maxPort is the highest TCP port.
const maxPort = 65535

// validateMaxServers checks the limits of model pool i against the servers that
// each failure domain starts with.
func (a *Answers) validateMaxServers(findings *finding.List, i int) {
	p := a.ModelPools[i]
	path := fmt.Sprintf("$.model_pools[%d]", i)
	initialServers := (p.Servers + len(a.FailureDomains) - 1) / len(a.FailureDomains)
	if p.MaxServersPerDomain < initialServers {
		findings.Addf(path+".max_servers_per_failure_domain", "is less than the %d engines that a failure domain has at the start", initialServers)
	}
	if p.MaxReclaimablePerDomain > p.MaxServersPerDomain {
		findings.Addf(path+".max_reclaimable_per_failure_domain", "must not exceed max_servers_per_failure_domain")
	}
}

// portCount returns the number of ports that the deployment needs, not counting
// the first, which is for the platform stand-in.
func (a *Answers) portCount() int {
	n := listenersPerNode * a.EntryVMs
	for _, p := range a.ModelPools {
		n += p.Servers
	}
	for _, p := range a.ServicePools {
		n += p.Servers
	}
	return n
}

// checkUnique adds a finding if the name is already in seen, and adds the name
// to seen.
func checkUnique(findings *finding.List, path, name string, seen map[string]bool) {
	if seen[name] {
		findings.Addf(path, "%q is used twice", name)
	}
	seen[name] = true
}
