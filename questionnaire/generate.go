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

// listenersPerNode is the number of ports that one node needs: one each for
// callers, peers and operators.
const listenersPerNode = 3

// Deployment holds everything that is generated from a set of answers.
type Deployment struct {
	Document *config.Document
	Nodes    []settings.Settings
	VMs      []fleet.VM
	Engines  []EngineStandinSettings
	Services []ServiceStandinSettings
	Keys     []GeneratedKey
	// Platform is the address of the platform as IP:port.
	Platform string
	Secrets  settings.Secrets
}

// GeneratedKey is a new workspace key. The configuration holds only its digest.
type GeneratedKey struct {
	Workspace string `json:"workspace"`
	ID        string `json:"id"`
	Key       string `json:"key"`
}

// secretBytes is the number of random bytes in a generated secret.
const secretBytes = 24

// Generate returns the deployment for answers that Parse has returned. Keys and
// secrets are random and differ in each call.
func Generate(a *Answers) *Deployment {
	g := generator{answers: a, nextPort: a.FirstPort + 1}
	g.deployment.Platform = a.Platform
	if g.deployment.Platform == "" {
		g.deployment.Platform = net.JoinHostPort(a.IP, strconv.Itoa(a.FirstPort))
	}
	g.deployment.Secrets = settings.Secrets{KeyDigest: newSecret(), Peer: newSecret(), Operator: newSecret()}
	g.deployment.Document = &config.Document{
		Objectives: config.Objectives{
			FirstTokenSeconds:    a.Objectives.FirstTokenSeconds,
			BetweenTokensSeconds: a.Objectives.BetweenTokensSeconds,
			TargetRatio:          a.Objectives.TargetRatio,
		},
		Pools: []config.Pool{}, Services: []config.Service{}, Workspaces: []config.Workspace{},
		BackendServers: []config.BackendServer{},
	}
	g.addNodes()
	g.addModelPools()
	g.addServicePools()
	g.addWorkspaces()
	return &g.deployment
}

func newSecret() string {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	return hex.EncodeToString(raw)
}

// generator builds a deployment and assigns ports in ascending order.
type generator struct {
	answers    *Answers
	nextPort   int
	deployment Deployment
}

// nextAddress returns an address with the next unused port.
func (g *generator) nextAddress() string {
	port := g.nextPort
	g.nextPort++
	return net.JoinHostPort(g.answers.IP, strconv.Itoa(port))
}

// failureDomain returns the failure domain of the process with index i. It
// distributes the processes of one kind round-robin.
func (g *generator) failureDomain(i int) string {
	return g.answers.FailureDomains[i%len(g.answers.FailureDomains)]
}

// addNodes adds the settings of all nodes. It assigns the ports of all caller
// listeners first, so that they are consecutive, then those of the peer and
// operator listeners.
func (g *generator) addNodes() {
	for i := range g.answers.EntryVMs {
		s := settings.Default()
		s.Name = fmt.Sprintf("%s-entry-%d", g.answers.Deployment, i+1)
		s.FailureDomain = g.failureDomain(i)
		s.Platform.Address = g.deployment.Platform
		s.Secrets = g.deployment.Secrets
		g.deployment.Nodes = append(g.deployment.Nodes, s)
	}
	for i := range g.deployment.Nodes {
		g.deployment.Nodes[i].Listen.Callers = g.nextAddress()
	}
	for i := range g.deployment.Nodes {
		g.deployment.Nodes[i].Listen.Peers = g.nextAddress()
	}
	for i := range g.deployment.Nodes {
		g.deployment.Nodes[i].Listen.Operators = g.nextAddress()
	}
	for _, s := range g.deployment.Nodes {
		g.deployment.VMs = append(g.deployment.VMs, fleet.VM{Name: s.Name, Address: s.Listen.Peers, FailureDomain: s.FailureDomain})
	}
}

// addModelPools adds the engine pools with their engines and rules.
func (g *generator) addModelPools() {
	d := g.deployment.Document
	for _, p := range g.answers.ModelPools {
		d.Pools = append(d.Pools, config.Pool{
			Name: p.Name, Kind: config.KindEngine, Models: p.Models, KVBlocks: p.KVBlocks, KVBlockTokens: p.KVBlockTokens,
		})
		for i := range p.Servers {
			s := engine.DefaultSettings(fmt.Sprintf("%s-%d", p.Name, i+1))
			s.KVBlocks, s.KVBlockTokens, s.ChecksFencing = p.KVBlocks, p.KVBlockTokens, p.ChecksFencing
			address := g.nextAddress()
			g.deployment.Engines = append(g.deployment.Engines, EngineStandinSettings{Listen: address, Settings: s})
			d.BackendServers = append(d.BackendServers, config.BackendServer{
				Name: s.Name, Pool: p.Name, FailureDomain: g.failureDomain(i), Address: address,
				Class: config.ClassStandard, ChecksFencing: p.ChecksFencing,
			})
		}
		g.addRules(p.Name, p.Servers, p.MaxServersPerDomain, p.MaxReclaimablePerDomain)
	}
}

// addRules adds one rule per failure domain. The minimum is one server where the
// failure domain has servers initially, otherwise 0. If maxServers is 0, the
// maximum is twice the initial number, and at least 1.
func (g *generator) addRules(pool string, servers, maxServers, maxReclaimable int) {
	domains := len(g.answers.FailureDomains)
	for i, domain := range g.answers.FailureDomains {
		initialServers := (servers + domains - 1 - i) / domains
		rule := config.Rule{
			FailureDomain: domain, Pool: pool, MinServers: min(initialServers, 1), MaxServers: maxServers,
		}
		if rule.MaxServers == 0 {
			rule.MaxServers = max(1, 2*initialServers)
		}
		rule.MaxReclaimable = min(maxReclaimable, rule.MaxServers)
		g.deployment.Document.Rules = append(g.deployment.Document.Rules, rule)
	}
}

// addServicePools adds the services, each with a pool of the same name.
func (g *generator) addServicePools() {
	d := g.deployment.Document
	for _, p := range g.answers.ServicePools {
		d.Pools = append(d.Pools, config.Pool{Name: p.Name, Kind: config.KindService})
		d.Services = append(d.Services, config.Service{
			Name: p.Name, Pool: p.Name, Open: p.Open, IdempotentMethods: p.IdempotentMethods, TimeoutSeconds: p.TimeoutSeconds,
		})
		for i := range p.Servers {
			name, address := fmt.Sprintf("%s-%d", p.Name, i+1), g.nextAddress()
			g.deployment.Services = append(g.deployment.Services, ServiceStandinSettings{Listen: address, Name: name})
			d.BackendServers = append(d.BackendServers, config.BackendServer{
				Name: name, Pool: p.Name, FailureDomain: g.failureDomain(i), Address: address, Class: config.ClassStandard,
			})
		}
	}
}

// addWorkspaces adds the workspaces and generates their keys.
func (g *generator) addWorkspaces() {
	for _, w := range g.answers.Workspaces {
		workspace := config.Workspace{Name: w.Name, Weight: w.Weight}
		for i := range w.Keys {
			key, record := config.NewKey(fmt.Sprintf("%s-%d", w.Name, i+1), []byte(g.deployment.Secrets.KeyDigest))
			workspace.Keys = append(workspace.Keys, record)
			g.deployment.Keys = append(g.deployment.Keys, GeneratedKey{Workspace: w.Name, ID: record.ID, Key: key})
		}
		g.deployment.Document.Workspaces = append(g.deployment.Document.Workspaces, workspace)
	}
}
