package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/settings"
)

const validSettings = `{
  "name": "entry-1", "failure_domain": "keflavik",
  "listen": {"callers": "0.0.0.0:7401", "peers": "0.0.0.0:7402", "operators": "127.0.0.1:7403"},
  "platform": {"address": "10.0.0.1:7400"},
  "secrets": {"key_digest": "0123456789abcdef", "peer": "0123456789abcdef"},
  "limits": {"max_connections": 100}
}`

func findingPaths(err error) string {
	var e *finding.Error
	if !errors.As(err, &e) {
		return ""
	}
	var out []string
	for _, f := range e.Findings {
		out = append(out, f.Path)
	}
	return strings.Join(out, " ")
}

// Guards against validation that stops at the first error: a file with five
// errors must give five findings, each with file and path.
func TestLoadReportsAllFindings(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "node.json")
	raw := strings.NewReplacer(
		`"limits": {`, `"limits": {"max_conections": 5, `,
		`"0.0.0.0:7401"`, `"localhost:7401"`,
		`"10.0.0.1:7400"`, `"10.0.0.1:7400", "timeout_s": -2`,
		`"key_digest": "0123456789abcdef", `, `"key_digest": "short", `,
		`"max_connections": 100`, `"max_connections": "100"`,
	).Replace(validSettings)
	is.NoErr(os.WriteFile(file, []byte(raw), 0o600))
	_, err := settings.Load(file)
	var e *finding.Error
	is.True(errors.As(err, &e))
	found := make(map[string]bool)
	for _, f := range e.Findings {
		is.Equal(f.File, file)
		found[f.Path] = true
	}
	for _, path := range []string{
		"$.limits.max_conections", "$.listen.callers", "$.platform.timeout_s", "$.secrets.key_digest", "$.limits.max_connections",
	} {
		is.True(found[path]) // has a finding at path
	}
	is.Equal(len(e.Findings), 5)
}

// Guards against accepting a value with which a node can't run.
func TestParseRejectsInvalidValues(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"no secret on a public listener", `, "peer": "0123456789abcdef"`, ``, "$.secrets.peer"},
		{"no secret on a public operator listener", `127.0.0.1:7403`, `10.0.0.2:7403`, "$.secrets.operator"},
		{"short secret on loopback", `"peer"`, `"operator": "x", "peer"`, "$.secrets.operator"},
		{"one address for two listeners", `0.0.0.0:7402`, `0.0.0.0:7401`, "$.listen.peers"},
		{"name of a port", `127.0.0.1:7403`, `127.0.0.1:http`, "$.listen.operators"},
		{"port of the platform is 0", `10.0.0.1:7400`, `10.0.0.1:0`, "$.platform.address"},
		{"duration overflows", `"max_connections": 100`, `"idle_timeout_s": 1e12`, "$.limits.idle_timeout_s"},
		{"duration as text", `"max_connections": 100`, `"idle_timeout_s": "5s"`, "$.limits.idle_timeout_s"},
		{"no memory", `"max_connections": 100`, `"memory_mb": 0`, "$.limits.memory_mb"},
		{"body without room", `"max_connections": 100`, `"memory_mb": 64`, "$.limits.max_body_bytes"},
		{"no platform", `"platform": {"address": "10.0.0.1:7400"},`, ``, "$.platform"},
		{"space in a name", `"entry-1"`, `"entry 1"`, "$.name"},
		{"malformed", `"secrets": {`, `"secrets": `, "$"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Parse("s.json", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			is.Equal(findingPaths(err), c.want)
			if c.want == "" {
				is.NoErr(err)
				is.Equal(s.Limits.MaxConnections, 100)
				is.Equal(s.Limits.MaxAttempts, settings.Default().Limits.MaxAttempts) // default kept
			}
		})
	}
}
