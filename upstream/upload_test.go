package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// uploadBytes is more than the sockets hold, so that an upload is still written when the server answers.
const uploadBytes = 16 << 20

// startEarlyServer answers each request as soon as it has read its header, with answer, and then calls
// end.
func startEarlyServer(t *testing.T, answer string, end func(c *net.TCPConn, r *http.Request)) (address string) {
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
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn), r)
			}()
		}
	}()
	return l.Addr().String()
}

const (
	unframedAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\na part of the answer"
	framedAnswer   = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 10\r\n\r\n0123456789"
)

func newUpload(address string) *Request {
	r := newGet(address)
	r.Method, r.Body = http.MethodPost, make([]byte, uploadBytes)
	return r
}

// TestAnswerBesideFailedUploadIsIncomplete guards against a part of an answer that is taken for a
// complete one: the server answers a long upload at once without a length, sends a part, and resets the
// connection, or closes it in order, while the upload is still written. The goroutine that writes may
// get the error of the reset, and the reader then only the end.
func TestAnswerBesideFailedUploadIsIncomplete(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn, r *http.Request){
		"reset": func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) },
		"close": func(*net.TCPConn, *http.Request) {},
		"close of one side": func(c *net.TCPConn, _ *http.Request) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, io.LimitReader(c, 1<<20))
		},
	} {
		t.Run(name, func(t *testing.T) {
			complete := 0
			const runs = 40
			for range runs {
				address := startEarlyServer(t, unframedAnswer, end)
				if _, err := do(t, NewPool(DefaultOptions), newUpload(address)); err == nil {
					complete++
				}
			}
			t.Logf("%d of %d answers taken for complete", complete, runs)
			is.New(t).Equal(complete, 0)
		})
	}
}

// TestFramedAnswerBesideUnreadUploadIsComplete guards against a refusal of a long upload that is lost
// although its length shows that it is complete.
func TestFramedAnswerBesideUnreadUploadIsComplete(t *testing.T) {
	is := is.New(t)
	address := startEarlyServer(t, framedAnswer, func(c *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	body, err := do(t, NewPool(DefaultOptions), newUpload(address))
	is.NoErr(err)
	is.Equal(body, "0123456789")
}

// TestUnframedAnswerToReadUploadIsComplete guards against an answer without a length that is taken for
// incomplete although the server has read the complete body, long or short, before it closes.
func TestUnframedAnswerToReadUploadIsComplete(t *testing.T) {
	is := is.New(t)
	for _, bodyBytes := range []int{0, 100, maxInlineBodyBytes + 1, 1 << 20} {
		for range 20 {
			address := startEarlyServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", func(c *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "whole")
			})
			r := newUpload(address)
			r.Body = r.Body[:bodyBytes]
			body, err := do(t, NewPool(DefaultOptions), r)
			is.NoErr(err)
			is.Equal(body, "whole")
		}
	}
}

// TestStatusOutsideRangeIsNoResponse guards against a status that no client knows reaching a caller as
// an answer: it is lost, and promises nothing.
func TestStatusOutsideRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		is := is.New(t)
		address, _, _ := startScriptedServer(t, strings.Replace(completeResponse, "200", status, 1))
		_, err := do(t, NewPool(DefaultOptions), newGet(address))
		var lost *LostError
		is.True(errors.As(err, &lost))
	}
}
