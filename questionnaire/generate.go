package questionnaire

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/settings"
	"github.com/figweir/figweir/standin/engine"
)

// listenersPerNode is the number of ports that one node needs.
const listenersPerNode = 3

// Deployment is everything that is generated from a set of answers.
type Deployment struct {
	Document *config.Document
	Nodes    []settings.Settings
	VMs      []fleet.VM
	Engines  []EngineStandin
	Services []ServiceStandin
	Keys     []GeneratedKey
	// Platform is the address of the platform as IP:port.
	Platform string
	Secrets  settings.Secrets
}

// GeneratedKey is a new key. Only its digest is kept in the configuration.
type GeneratedKey struct {
	Workspace string `json:"workspace"`
	ID        string `json:"id"`
	Key       string `json:"key"`
}

// secretBytes is the entropy of a generated secret.
const secretBytes = 24

// Generate returns the deployment for answers that Parse has checked. Keys and
// secrets are random, so each call returns others.
func Generate(a *Answers) *Deployment {
	g := generator{answers: a, nextPort: a.FirstPort + 1}
	g.out.Platform = a.Platform
	if g.out.Platform == "" {
		g.out.Platform = net.JoinHostPort(a.IP, strconv.Itoa(a.FirstPort))
	}
	g.out.Secrets = settings.Secrets{KeyDigest: newSecret(), Peer: newSecret(), Operator: newSecret()}
	g.out.Document = &config.Document{
		Objectives: config.Objectives{
			FirstTokenSeconds:    a.Objectives.FirstTokenSeconds,
			BetweenTokensSeconds: a.Objectives.BetweenTokensSeconds,
			TargetRatio:          a.Objectives.TargetRatio,
		},
		Pools: []config.Pool{}, Services: []config.Service{}, Workspaces: []config.Workspace{},
		BackendServers: []config.BackendServer{},
	}
	g.nodes()
	g.modelPools()
	g.servicePools()
	g.workspaces()
	return &g.out
}

func newSecret() string {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	return hex.EncodeToString(raw)
}

type generator struct {
	answers  *Answers
	nextPort int
	out      Deployment
}

// address returns the next unused address.
func (g *generator) address() string {
	port := g.nextPort
	g.nextPort++
	return net.JoinHostPort(g.answers.IP, strconv.Itoa(port))
}

// domain returns the failure domain of the ith process of a kind.
func (g *generator) domain(i int) string {
	return g.answers.FailureDomains[i%len(g.answers.FailureDomains)]
}

// nodes allots the ports of all callers' listeners first, so that they are
// consecutive, then those of peers and operators.
func (g *generator) nodes() {
	for i := range g.answers.EntryVMs {
		s := settings.Default()
		s.Name = fmt.Sprintf("%s-entry-%d", g.answers.Deployment, i+1)
		s.FailureDomain = g.domain(i)
		s.Platform.Address = g.out.Platform
		s.Secrets = g.out.Secrets
		g.out.Nodes = append(g.out.Nodes, s)
	}
	for i := range g.out.Nodes {
		g.out.Nodes[i].Listen.Callers = g.address()
	}
	for i := range g.out.Nodes {
		g.out.Nodes[i].Listen.Peers = g.address()
	}
	for i := range g.out.Nodes {
		g.out.Nodes[i].Listen.Operators = g.address()
	}
	for _, s := range g.out.Nodes {
		g.out.VMs = append(g.out.VMs, fleet.VM{Name: s.Name, Address: s.Listen.Peers, FailureDomain: s.FailureDomain})
	}
}

func (g *generator) modelPools() {
	d := g.out.Document
	for _, p := range g.answers.ModelPools {
		d.Pools = append(d.Pools, config.Pool{
			Name: p.Name, Kind: config.KindEngine, Models: p.Models, KVBlocks: p.KVBlocks, KVBlockTokens: p.KVBlockTokens,
		})
		for i := range p.Servers {
			s := engine.DefaultSettings(fmt.Sprintf("%s-%d", p.Name, i+1))
			s.KVBlocks, s.KVBlockTokens, s.ChecksFencing = p.KVBlocks, p.KVBlockTokens, p.ChecksFencing
			address := g.address()
			g.out.Engines = append(g.out.Engines, EngineStandin{Listen: address, Settings: s})
			d.BackendServers = append(d.BackendServers, config.BackendServer{
				Name: s.Name, Pool: p.Name, FailureDomain: g.domain(i), Address: address,
				Class: config.ClassStandard, ChecksFencing: p.ChecksFencing,
			})
		}
		g.rules(p.Name, p.Servers, p.MaxServers, p.Reclaimable)
	}
}

// rules adds one rule per failure domain. A failure domain that starts with
// servers never goes below one of them.
func (g *generator) rules(pool string, servers, most, reclaimable int) {
	domains := len(g.answers.FailureDomains)
	for i, domain := range g.answers.FailureDomains {
		atStart := (servers + domains - 1 - i) / domains
		rule := config.Rule{
			FailureDomain: domain, Pool: pool, MinServers: min(atStart, 1), MaxServers: most,
		}
		if rule.MaxServers == 0 {
			rule.MaxServers = max(1, 2*atStart)
		}
		rule.MaxReclaimable = min(reclaimable, rule.MaxServers)
		g.out.Document.Rules = append(g.out.Document.Rules, rule)
	}
}

func (g *generator) servicePools() {
	d := g.out.Document
	for _, p := range g.answers.ServicePools {
		d.Pools = append(d.Pools, config.Pool{Name: p.Name, Kind: config.KindService})
		d.Services = append(d.Services, config.Service{
			Name: p.Name, Pool: p.Name, Open: p.Open, IdempotentMethods: p.IdempotentMethods, TimeoutSeconds: p.TimeoutSeconds,
		})
		for i := range p.Servers {
			name, address := fmt.Sprintf("%s-%d", p.Name, i+1), g.address()
			g.out.Services = append(g.out.Services, ServiceStandin{Listen: address, Name: name})
			d.BackendServers = append(d.BackendServers, config.BackendServer{
				Name: name, Pool: p.Name, FailureDomain: g.domain(i), Address: address, Class: config.ClassStandard,
			})
		}
	}
}

func (g *generator) workspaces() {
	for _, w := range g.answers.Workspaces {
		workspace := config.Workspace{Name: w.Name, Weight: w.Weight}
		for i := range w.Keys {
			key, record := config.NewKey(fmt.Sprintf("%s-%d", w.Name, i+1), []byte(g.out.Secrets.KeyDigest))
			workspace.Keys = append(workspace.Keys, record)
			g.out.Keys = append(g.out.Keys, GeneratedKey{Workspace: w.Name, ID: record.ID, Key: key})
		}
		g.out.Document.Workspaces = append(g.out.Document.Workspaces, workspace)
	}
}
