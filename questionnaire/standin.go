package questionnaire

import (
	"net/netip"

	"github.com/invopop/jsonschema"

	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/standin/engine"
)

// EngineStandin is the settings file of an engine stand-in.
type EngineStandin struct {
	// Listen is the address to listen on as IP:port.
	Listen string `json:"listen,omitempty"`
	engine.Settings
}

// JSONSchemaExtend requires the name only; the rest has defaults.
func (EngineStandin) JSONSchemaExtend(s *jsonschema.Schema) { s.Required = []string{"name"} }

// ServiceStandin is the settings file of a service stand-in.
type ServiceStandin struct {
	// Listen is the address to listen on as IP:port.
	Listen string `json:"listen,omitempty"`
	Name   string `json:"name"`
}

// ParseEngine decodes and checks the settings of an engine stand-in. Values
// that are left out get those of engine.DefaultSettings.
func ParseEngine(file string, raw []byte) (EngineStandin, error) {
	s := EngineStandin{Settings: engine.DefaultSettings("")}
	err := finding.Decode(file, raw, &s, func(findings *finding.List) {
		checkStandin(findings, s.Listen, s.Name)
		positive(findings, "$.slots", s.Slots)
		positive(findings, "$.prefill_tokens_per_s", s.PrefillTokensPerSecond)
		positive(findings, "$.kv_blocks", s.KVBlocks)
		positive(findings, "$.kv_block_tokens", s.KVBlockTokens)
		notNegative(findings, "$.token_ms", s.TokenMillis)
		notNegative(findings, "$.report_lag_ms", s.ReportLagMillis)
		notNegative(findings, "$.role_change_ms", s.RoleChangeMillis)
	})
	return s, err
}

// ParseService decodes and checks the settings of a service stand-in.
func ParseService(file string, raw []byte) (ServiceStandin, error) {
	var s ServiceStandin
	err := finding.Decode(file, raw, &s, func(findings *finding.List) { checkStandin(findings, s.Listen, s.Name) })
	return s, err
}

func checkStandin(findings *finding.List, listen, name string) {
	if listen != "" {
		if _, err := netip.ParseAddrPort(listen); err != nil {
			findings.Addf("$.listen", "%q is not an address: use IP:port", listen)
		}
	}
	if name == "" {
		findings.Addf("$.name", "must not be empty")
	}
}

func positive(findings *finding.List, path string, value int) {
	if value <= 0 {
		findings.Addf(path, "must be greater than 0")
	}
}

func notNegative(findings *finding.List, path string, value int) {
	if value < 0 {
		findings.Addf(path, "must not be negative")
	}
}
