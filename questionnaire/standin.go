package questionnaire

import (
	"net/netip"

	"github.com/invopop/jsonschema"

	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/standin/engine"
)

// EngineStandinSettings holds the settings of an engine stand-in, a simulated engine.
type EngineStandinSettings struct {
	// Listen is the address to listen on as IP:port.
	Listen string `json:"listen,omitempty"`
	engine.Settings
}

// JSONSchemaExtend requires only the name; the other fields have defaults.
func (EngineStandinSettings) JSONSchemaExtend(s *jsonschema.Schema) { s.Required = []string{"name"} }

// ServiceStandinSettings holds the settings of a service stand-in, a simulated
// application server.
type ServiceStandinSettings struct {
	// Listen is the address to listen on as IP:port.
	Listen string `json:"listen,omitempty"`
	Name   string `json:"name"`
}

// ParseEngineStandin decodes and validates the settings of an engine stand-in.
// Omitted values are those of engine.DefaultSettings. It reports all problems in
// one *finding.Error.
func ParseEngineStandin(file string, raw []byte) (EngineStandinSettings, error) {
	s := EngineStandinSettings{Settings: engine.DefaultSettings("")}
	err := finding.Decode(file, raw, &s, func(findings *finding.List) {
		validateStandin(findings, s.Listen, s.Name)
		checkPositive(findings, "$.slots", s.Slots)
		checkPositive(findings, "$.prefill_tokens_per_s", s.PrefillTokensPerSecond)
		checkPositive(findings, "$.kv_blocks", s.KVBlocks)
		checkPositive(findings, "$.kv_block_tokens", s.KVBlockTokens)
		checkNotNegative(findings, "$.token_ms", s.TokenMillis)
		checkNotNegative(findings, "$.report_lag_ms", s.ReportLagMillis)
		checkNotNegative(findings, "$.role_change_ms", s.RoleChangeMillis)
	})
	return s, err
}

// ParseServiceStandin decodes and validates the settings of a service stand-in.
// It reports all problems in one *finding.Error.
func ParseServiceStandin(file string, raw []byte) (ServiceStandinSettings, error) {
	var s ServiceStandinSettings
	err := finding.Decode(file, raw, &s, func(findings *finding.List) { validateStandin(findings, s.Listen, s.Name) })
	return s, err
}

// validateStandin checks the settings that all stand-ins have.
func validateStandin(findings *finding.List, listen, name string) {
	if listen != "" {
		if _, err := netip.ParseAddrPort(listen); err != nil {
			findings.Addf("$.listen", "%q is not an address: use IP:port", listen)
		}
	}
	if name == "" {
		findings.Addf("$.name", "must not be empty")
	}
}

func checkPositive(findings *finding.List, path string, value int) {
	if value <= 0 {
		findings.Addf(path, "must be greater than 0")
	}
}

func checkNotNegative(findings *finding.List, path string, value int) {
	if value < 0 {
		findings.Addf(path, "must not be negative")
	}
}
