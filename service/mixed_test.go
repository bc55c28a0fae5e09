package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// startRaw answers each request, whose body it does not read, with the given bytes and resets the
// connection.
func startRaw(t *testing.T, answer string, readBody bool) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if readBody {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(c, answer)
				if !readBody {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestAnswerBesideFailedUploadIsIncomplete guards against a part of an answer that is taken for a
// complete one: the service answers a long upload at once without a length, sends a part, and resets the
// connection while the upload is still written.
func TestAnswerBesideFailedUploadIsIncomplete(t *testing.T) {
	is := is.New(t)
	c := NewClient()
	defer c.Close()
	complete := 0
	const runs = 40
	for range runs {
		address := startRaw(t, "HTTP/1.1 200 OK\r\n\r\na part of the answer", false)
		_, err := c.Call(t.Context(), address, Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 16<<20)})
		if err == nil {
			complete++
		} else {
			is.True(errors.Is(err, ErrOutcomeUnknown))
		}
	}
	t.Logf("%d of %d answers taken for complete", complete, runs)
	is.Equal(complete, 0)
}

// TestAnswerToReadUploadIsComplete guards against a complete answer without a length that is taken for
// a part of one.
func TestAnswerToReadUploadIsComplete(t *testing.T) {
	is := is.New(t)
	c := NewClient()
	defer c.Close()
	for range 40 {
		address := startRaw(t, "HTTP/1.1 200 OK\r\n\r\nwhole", true)
		resp, err := c.Call(t.Context(), address, Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 1<<20)})
		is.NoErr(err)
		is.Equal(string(resp.Body), "whole")
	}
}

// TestStatusOutsideRangeIsNoResponse guards against a status that no client knows reaching a caller.
func TestStatusOutsideRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		is := is.New(t)
		c := NewClient()
		address := startRaw(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok", true)
		_, err := c.Call(t.Context(), address, Call{Method: http.MethodPost, Path: "/"})
		is.True(errors.Is(err, ErrOutcomeUnknown))
		c.Close()
	}
}
