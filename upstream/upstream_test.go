package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scriptServer answers each request with the next text, byte for byte. An empty
// text resets the connection.
func scriptServer(t *testing.T, answers ...string) (address string, requests *atomic.Int64, connections *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests, connections = new(atomic.Int64), new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go serveScript(c.(*net.TCPConn), answers, requests)
		}
	}()
	return l.Addr().String(), requests, connections
}

func serveScript(c *net.TCPConn, answers []string, requests *atomic.Int64) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := int(requests.Add(1)) - 1
		if n >= len(answers) || answers[n] == "" {
			_ = c.SetLinger(0)
			return
		}
		_, _ = io.WriteString(c, answers[n])
		if strings.Contains(answers[n], "Connection: close") {
			return
		}
	}
}

func get(address string) *Request {
	return &Request{
		Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}},
		Belongs: func(h http.Header) bool { return h.Get("Id") == "1" },
	}
}

const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func do(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// TestConnectionIsReused guards against a handshake for each request.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	address, _, connections := scriptServer(t, whole, whole, whole)
	p := NewPool(DefaultOptions)
	for range 3 {
		body, err := do(t, p, get(address))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(connections.Load(), int64(1))
}

// TestNothingIsRepeated guards against hidden repeats: a request whose kept
// connection breaks reaches a server once and counts as lost.
func TestNothingIsRepeated(t *testing.T) {
	is := is.New(t)
	address, requests, _ := scriptServer(t, whole, "")
	p := NewPool(DefaultOptions)
	_, err := do(t, p, get(address))
	is.NoErr(err)
	_, err = do(t, p, get(address))
	var lost *LostError
	is.True(errors.As(err, &lost))
	is.True(lost.Reused)
	is.Equal(requests.Load(), int64(2))
}

// TestUnreachableServerIsNotSent guards against "may have run" where nothing was
// sent.
func TestUnreachableServerIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = do(t, NewPool(DefaultOptions), get(address))
	var unsent *NotSentError
	is.True(errors.As(err, &unsent))
}

// TestForeignAnswerIsPassedOver guards against handing a late answer of another
// request to this one, and against keeping a connection that carried it.
func TestForeignAnswerIsPassedOver(t *testing.T) {
	is := is.New(t)
	foreign := "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 5\r\n\r\nother"
	address, _, connections := scriptServer(t, foreign+whole, whole)
	p := NewPool(DefaultOptions)
	body, err := do(t, p, get(address))
	is.NoErr(err)
	is.Equal(body, "ok")
	_, err = do(t, p, get(address))
	is.NoErr(err)
	is.Equal(connections.Load(), int64(2))
}

// TestBytesAfterAnswerEndTheConnection guards against reading an extra answer as
// that of the next request.
func TestBytesAfterAnswerEndTheConnection(t *testing.T) {
	is := is.New(t)
	address, _, connections := scriptServer(t, whole+whole, whole)
	p := NewPool(DefaultOptions)
	_, err := do(t, p, get(address))
	is.NoErr(err)
	_, err = do(t, p, get(address))
	is.NoErr(err)
	is.Equal(connections.Load(), int64(2))
}

// TestCutAnswerIsAnError guards against an answer that looks whole though its
// connection was reset or closed early.
func TestCutAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nok",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n",
	} {
		address, _, _ := scriptServer(t, text)
		_, err := do(t, NewPool(DefaultOptions), get(address))
		is.True(err != nil)
	}
}

// TestKeepAliveTimeIsRespected guards against using a connection that the server
// is about to close.
func TestKeepAliveTimeIsRespected(t *testing.T) {
	is := is.New(t)
	short := "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"
	address, _, connections := scriptServer(t, short, whole)
	p := NewPool(DefaultOptions)
	for range 2 {
		_, err := do(t, p, get(address))
		is.NoErr(err)
	}
	is.Equal(connections.Load(), int64(2))
}

// TestEarlyAnswerToLongBody guards against keeping a connection on which the
// rest of a body is still due.
func TestEarlyAnswerToLongBody(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, whole)
		time.Sleep(time.Second)
	}()
	p := NewPool(DefaultOptions)
	r := get(l.Addr().String())
	r.Method, r.Body = http.MethodPost, make([]byte, 32<<20)
	body, err := do(t, p, r)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(len(p.idle), 0)
}

// TestEndOfContextEndsTheExchange guards against work that goes on at a server
// after its caller has left.
func TestEndOfContextEndsTheExchange(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = NewPool(DefaultOptions).Do(ctx, get(l.Addr().String()))
	var lost *LostError
	is.True(errors.As(err, &lost))
	is.True(errors.Is(err, context.Canceled))
	<-closed
}
