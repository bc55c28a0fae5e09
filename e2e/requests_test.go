package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/figweir/figweir/apierr"
)

// Guards against parts that work in one process and not as separate ones:
// every kind of request is sent through each node.
func TestEveryKindOfRequest(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 2)
	const tokens = 30
	withdrawn := d.command(0, "key", "add", workspace, "--key-secret-file", d.file("key_digest.secret"), "--require-accepted")
	for i := range d.nodes {
		is.NoErr(d.chat(i, d.key, newChat("summarise the order", tokens, false), nil))
		is.NoErr(d.chat(i, d.key, newChat("summarise the order", tokens, true), nil))
		err := d.chat(i, d.key+"0", newChat("wrong key", tokens, true), nil)
		is.Equal(code(err), apierr.Unauthorized)
		is.True(notRun(err))
		eventually(t, "the new key works", func() error { return d.chat(i, withdrawn, newChat("new key", tokens, true), nil) })

		key := fmt.Sprintf("booking-%d", i)
		first, err := d.call(i, key)
		is.NoErr(err)
		repeat, err := d.call((i+1)%len(d.nodes), key)
		is.NoErr(err)
		is.Equal(repeat, first)
		is.Equal(d.runs(key), 1)
	}
	d.command(0, "key", "withdraw", workspace+"-2", "--require-accepted")
	for i := range d.nodes {
		eventually(t, "the withdrawn key is refused", func() error {
			err := d.chat(i, withdrawn, newChat("withdrawn key", tokens, true), nil)
			if code(err) != apierr.Unauthorized {
				return fmt.Errorf("answered %v", err)
			}
			return nil
		})
		_, err := d.do(i, request{key: withdrawn, method: http.MethodGet, path: "/v1/models"})
		is.Equal(code(err), apierr.Unauthorized)
		is.NoErr(d.chat(i, d.key, newChat("other keys still work", tokens, true), nil))
	}
}
