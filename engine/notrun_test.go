package engine

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestOnlyAStatementOfTheEngineProvesNotRun guards against callers that are told "not run" for a
// request that an engine has run: it answers with any status from 201 to 599, with and without the
// statement that it has not run the request.
func TestOnlyAStatementOfTheEngineProvesNotRun(t *testing.T) {
	is := is.New(t)
	status, states := 0, false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if states {
			w.Header().Set("X-Not-Run", "1")
		}
		w.WriteHeader(status)
	}))
	defer server.Close()
	c := NewClient()
	defer c.Close()
	for status = 201; status < 600; status++ {
		for _, states = range []bool{false, true} {
			_, err := c.Stream(t.Context(), strings.TrimPrefix(server.URL, "http://"), Attempt{Request: "r", ID: "r.1", Body: []byte("{}")})
			is.True(err != nil)
			is.Equal(ProvesNotRun(err), states && status >= 400) // status, states
		}
	}
	is.True(ProvesNotRun(ErrNotSent))
	is.True(!ProvesNotRun(ErrTruncated))
	is.True(!ProvesNotRun(errors.New("other")))
}
