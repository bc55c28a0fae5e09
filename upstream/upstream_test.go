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

// startScriptedServer answers each request with the next response, byte for byte. An empty
// response resets the connection.
func startScriptedServer(t *testing.T, responses ...string) (address string, requests *atomic.Int64, connections *atomic.Int64) {
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
			go serveScripted(c.(*net.TCPConn), responses, requests)
		}
	}()
	return l.Addr().String(), requests, connections
}

func serveScripted(c *net.TCPConn, responses []string, requests *atomic.Int64) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := int(requests.Add(1)) - 1
		if n >= len(responses) || responses[n] == "" {
			_ = c.SetLinger(0)
			return
		}
		_, _ = io.WriteString(c, responses[n])
		if strings.Contains(responses[n], "Connection: close") {
			return
		}
	}
}

func newGet(address string) *Request {
	return &Request{
		Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}},
		Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func do(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestConnectionIsReused guards against a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	address, _, connections := startScriptedServer(t, completeResponse, completeResponse, completeResponse)
	p := NewPool(DefaultOptions)
	for range 3 {
		body, err := do(t, p, newGet(address))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(connections.Load(), int64(1))
}

// TestRequestIsNotRetried guards against hidden retries: if a reused connection breaks, the
// request reaches the server once and is reported as lost.
func TestRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	address, requests, _ := startScriptedServer(t, completeResponse, "")
	p := NewPool(DefaultOptions)
	_, err := do(t, p, newGet(address))
	is.NoErr(err)
	_, err = do(t, p, newGet(address))
	var lost *LostError
	is.True(errors.As(err, &lost))
	is.True(lost.Reused)
	is.Equal(requests.Load(), int64(2))
}

// TestUnreachableServerReturnsNotSent guards against reporting that a request may have run
// although nothing was sent.
func TestUnreachableServerReturnsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = do(t, NewPool(DefaultOptions), newGet(address))
	var notSent *NotSentError
	is.True(errors.As(err, &notSent))
}

// TestMismatchedResponseIsSkipped guards against returning a late response to another
// request, and against reusing the connection that carried it.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	mismatched := "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 5\r\n\r\nother"
	address, _, connections := startScriptedServer(t, mismatched+completeResponse, completeResponse)
	p := NewPool(DefaultOptions)
	body, err := do(t, p, newGet(address))
	is.NoErr(err)
	is.Equal(body, "ok")
	_, err = do(t, p, newGet(address))
	is.NoErr(err)
	is.Equal(connections.Load(), int64(2))
}

// TestExtraResponseClosesConnection guards against reading an extra response as the
// response to the next request.
func TestExtraResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	address, _, connections := startScriptedServer(t, completeResponse+completeResponse, completeResponse)
	p := NewPool(DefaultOptions)
	_, err := do(t, p, newGet(address))
	is.NoErr(err)
	_, err = do(t, p, newGet(address))
	is.NoErr(err)
	is.Equal(connections.Load(), int64(2))
}

// TestTruncatedResponseIsAnError guards against accepting a response as complete although
// its connection was closed early.
func TestTruncatedResponseIsAnError(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nok",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n",
	} {
		address, _, _ := startScriptedServer(t, text)
		_, err := do(t, NewPool(DefaultOptions), newGet(address))
		is.True(err != nil)
	}
}

// TestKeepAliveTimeoutIsRespected guards against reusing a connection that the server is
// about to close.
func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	is := is.New(t)
	short := "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"
	address, _, connections := startScriptedServer(t, short, completeResponse)
	p := NewPool(DefaultOptions)
	for range 2 {
		_, err := do(t, p, newGet(address))
		is.NoErr(err)
	}
	is.Equal(connections.Load(), int64(2))
}

// TestEarlyResponseToLongBody guards against reusing a connection on which a part of a
// request body has not been written yet.
func TestEarlyResponseToLongBody(t *testing.T) {
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
		_, _ = io.WriteString(c, completeResponse)
		time.Sleep(time.Second)
	}()
	p := NewPool(DefaultOptions)
	r := newGet(l.Addr().String())
	r.Method, r.Body = http.MethodPost, make([]byte, 32<<20)
	body, err := do(t, p, r)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(len(p.idle), 0)
}

// TestContextCancelClosesConnection guards against a server that continues to process a
// request after its caller has disconnected.
func TestContextCancelClosesConnection(t *testing.T) {
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
	_, err = NewPool(DefaultOptions).Do(ctx, newGet(l.Addr().String()))
	var lost *LostError
	is.True(errors.As(err, &lost))
	is.True(errors.Is(err, context.Canceled))
	<-closed
}

// TestUnreachableServerRefusesNothing guards against a server that can't be reached, because a
// link is cut, being taken for one whose process has ended.
func TestUnreachableServerRefusesNothing(t *testing.T) {
	is := is.New(t)
	p := NewPool(DefaultOptions)
	address, _, _ := startScriptedServer(t)
	is.True(!p.Refuses(context.Background(), address))
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(!p.Refuses(canceled, address))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	is.True(p.Refuses(context.Background(), l.Addr().String()))
}

// TestEndlessResponseToAnotherRequestIsGivenUp guards against a server that keeps a node busy until
// the deadline with a response without end that answers another request.
func TestEndlessResponseToAnotherRequestIsGivenUp(t *testing.T) {
	is := is.New(t)
	address := startEndlessServer(t, "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n")
	_, err := NewPool(DefaultOptions).Do(t.Context(), newGet(address))
	is.True(errors.Is(err, ErrResponseMismatch))
}
