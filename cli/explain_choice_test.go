package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
)

// TestChoiceIsPrinted guards against operators who can't see why a server is ruled out, and against
// flags that don't reach the node.
func TestChoiceIsPrinted(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/explain")
		is.Equal(r.URL.Query().Encode(), "parts=a%3A40&path=%2Fdraft&prompt_tokens=100")
		is.NoErr(json.NewEncoder(w).Encode(backends.Explanation{Service: "s", Server: "p0", Prefill: true, Considered: []backends.Consideration{{Server: "p0"}, {Server: "p1", RuledOut: "leaving"}}}))
	}))
	defer server.Close()
	arguments := []string{"explain", "choice", "--gateway", strings.TrimPrefix(server.URL, "http://"), "--path", "/draft", "--prompt-tokens", "100", "--parts", "a:40"}
	r := runCommand(t, arguments...)
	is.Equal(r.code, 0)
	is.True(strings.Contains(r.out, "prompt at p0"))
	is.True(strings.Contains(r.out, "leaving"))
	r = runCommand(t, append(arguments, "--json")...)
	is.True(strings.Contains(r.out, `"ruled_out":"leaving"`))
}
