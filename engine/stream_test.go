package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func content(id string, text string) string {
	return fmt.Sprintf("id: %s\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, text)
}

func finish(id string, tokens int) string {
	return fmt.Sprintf("id: %s\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\n", id, tokens)
}

func done(id string) string { return "id: " + id + "\ndata: [DONE]\n\n" }

func readAll(raw string) (string, *Stream, error) {
	s := newStream(io.NopCloser(strings.NewReader(raw)), "a.1", 0)
	defer s.Close()
	var text strings.Builder
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), s, nil
		}
		if err != nil {
			return text.String(), s, err
		}
		text.WriteString(chunk.Text())
	}
}

// Guards against an answer that mixes in chunks of another request, repeats
// chunks, or passes for whole although part of it is missing.
func TestStreamDeliversExactlyItsOwnAnswer(t *testing.T) {
	tests := []struct {
		name    string
		raw     string
		text    string
		whole   bool
		dropped Dropped
	}{
		{"whole", content("a.1/0", "x") + content("a.1/1", "y") + finish("a.1/2", 2) + done("a.1/2"), "xy", true, Dropped{}},
		{"crossed chunk", content("a.1/0", "x") + content("b.1/1", "z") + content("a.1/1", "y") + finish("a.1/2", 2) + done("a.1/2"), "xy", true, Dropped{Crossed: 1}},
		{"crossed end", content("a.1/0", "x") + done("b.1/1") + content("a.1/1", "y") + finish("a.1/2", 2) + done("a.1/2"), "xy", true, Dropped{Crossed: 1}},
		{"repeated chunk", content("a.1/0", "x") + content("a.1/0", "x") + finish("a.1/1", 1) + done("a.1/1"), "x", true, Dropped{Late: 1}},
		{"malformed id", "id: nonsense\ndata: {}\n\n" + content("a.1/0", "x") + finish("a.1/1", 1) + done("a.1/1"), "x", true, Dropped{Malformed: 1}},
		{"no end marker", content("a.1/0", "x") + finish("a.1/1", 1), "x", false, Dropped{}},
		{"no finish reason", content("a.1/0", "x") + done("a.1/1"), "x", false, Dropped{}},
		{"missing chunk", content("a.1/0", "x") + content("a.1/2", "z") + finish("a.1/3", 3) + done("a.1/3"), "x", false, Dropped{}},
		{"end before the last chunk", content("a.1/0", "x") + finish("a.1/2", 2) + done("a.1/2"), "x", false, Dropped{}},
		{"token count differs", content("a.1/0", "x") + finish("a.1/1", 5) + done("a.1/1"), "x", false, Dropped{}},
		{"cut inside an event", content("a.1/0", "x") + "id: a.1/1\ndata: {\"choi", "x", false, Dropped{}},
		{"malformed chunk", "id: a.1/0\ndata: {\n\n" + done("a.1/1"), "", false, Dropped{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			text, s, err := readAll(test.raw)
			is.Equal(text, test.text)
			is.Equal(err == nil, test.whole)
			is.Equal(s.Whole(), test.whole)
			if err != nil {
				is.True(errors.Is(err, ErrTruncated))
			}
			is.Equal(s.Dropped, test.dropped)
		})
	}
}

// Guards against a new connection to the engine for each request.
func TestWholeStreamsKeepTheirConnection(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderAttempt)
		_, _ = io.WriteString(w, content(id+"/0", "x")+finish(id+"/1", 1)+done(id+"/1"))
		_ = http.NewResponseController(w).Flush()
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := NewClient()
	defer c.Close()
	idle := make(chan struct{}, 1)
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{PutIdleConn: func(error) { idle <- struct{}{} }})
	for n := range 5 {
		s, err := c.Stream(ctx, server.Listener.Addr().String(), Attempt{Request: "r", ID: fmt.Sprintf("r.%d", n)})
		is.NoErr(err)
		for err == nil {
			_, err = s.Next()
		}
		is.True(errors.Is(err, io.EOF))
		s.Close()
		<-idle
	}
	is.Equal(opened.Load(), int64(1))
}

// Guards against event ids that crash the parser or that it changes.
func FuzzParseEventID(f *testing.F) {
	for _, seed := range []string{"a.1/0", "a/b/7", "/1", "a/", "a/-1", "a/99999999999999999999", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseEventID(s)
		if err != nil {
			return
		}
		again, err := ParseEventID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q parses to %+v, which formats to %q", s, id, id.String())
		}
	})
}

// Guards against a stream that crashes or passes for whole on arbitrary bytes.
func FuzzStream(f *testing.F) {
	f.Add(content("a.1/0", "x") + finish("a.1/1", 1) + done("a.1/1"))
	f.Add("data: [DONE]\n\n")
	f.Add("id: a.1/0\ndata: {\"choices\":[]}\n\n")
	f.Fuzz(func(t *testing.T, raw string) {
		_, s, err := readAll(raw)
		if err == nil && (!s.finished || !s.Whole()) {
			t.Fatal("a stream without finish reason passed for whole")
		}
	})
}
