package service

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/figweir/figweir/membudget"
)

// TestEndlessResponsesLeaveMemoryForOthers guards against a process that runs out of memory, and
// against calls of others that fail, because services respond without end: 50 at a time, in the body
// and in the header.
func TestEndlessResponsesLeaveMemoryForOthers(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		block := strings.Repeat("x", 16<<10)
		switch r.URL.Path {
		case "/header":
			for i := range 100 {
				w.Header().Set("X-"+strings.Repeat("a", i), block)
			}
		case "/endless":
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, block); err != nil {
					return
				}
			}
		default:
			_, _ = io.WriteString(w, "whole")
		}
	}))
	defer server.Close()
	const limit = 4 << 20
	c := NewClient()
	defer c.Close()
	c.Memory = membudget.New(limit)
	call := func(path string) (Response, error) {
		return c.Call(t.Context(), strings.TrimPrefix(server.URL, "http://"), Call{Method: http.MethodGet, Path: path})
	}
	var calls sync.WaitGroup
	for range 50 {
		calls.Go(func() {
			if _, err := call("/endless"); !errors.Is(err, ErrResponseTooLarge) || !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("endless body: %v", err)
			}
			if _, err := call("/header"); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("endless header: %v", err)
			}
			if response, err := call("/"); err != nil || string(response.Body) != "whole" {
				t.Errorf("short response: %q, %v", response.Body, err)
			}
		})
	}
	calls.Wait()
	is.Equal(c.Memory.Used(), int64(0))
}
