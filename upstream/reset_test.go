package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/tcpstate"
)

// TestServerThatOnlyWritesLearnsThatRequestIsGivenUp guards against a stream that goes on elsewhere
// while the server before works on it: a server that doesn't read its connection, or that takes a
// closed sending side for the end of the request, learns of the end only if a write fails. Its
// first write after the end must not succeed.
func TestServerThatOnlyWritesLearnsThatRequestIsGivenUp(t *testing.T) {
	for name, end := range map[string]func(resp *Response, cancel func()){
		"by its context": func(_ *Response, cancel func()) { cancel() },
		"by its relay":   func(resp *Response, _ func()) { resp.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			accepted := make(chan *net.TCPConn, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n")
				accepted <- c.(*net.TCPConn)
			}()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resp, err := NewPool(DefaultOptions).Do(ctx, newGet(l.Addr().String()))
			is.NoErr(err)
			_, err = io.ReadFull(resp.Body, make([]byte, 5))
			is.NoErr(err)
			c := <-accepted
			defer c.Close()
			end(resp, cancel)
			is.True(becomesReset(t, c))
			_, err = c.Write([]byte("5\r\nmore.\r\n"))
			is.True(err != nil)
		})
	}
}

// becomesReset waits until a connection, from which nothing is read, has been reset by its peer.
func becomesReset(t *testing.T, c net.Conn) bool {
	t.Helper()
	for deadline := time.Now().Add(giveUpTime); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		wasReset, err := tcpstate.WasReset(c)
		if err != nil {
			t.Fatal(err)
		}
		if wasReset {
			return true
		}
	}
	return false
}

// TestNewConnectionIsMadeOnDemand guards against a request on a connection that carried it before,
// where a repeat of the earlier response would be taken for its own.
func TestNewConnectionIsMadeOnDemand(t *testing.T) {
	is := is.New(t)
	address, requests, connections := startScriptedServer(t, completeResponse, completeResponse)
	p := NewPool(DefaultOptions)
	_, err := do(t, p, newGet(address))
	is.NoErr(err)
	again := newGet(address)
	again.NewConnection = true
	_, err = do(t, p, again)
	is.NoErr(err)
	is.Equal(requests.Load(), int64(2))
	is.Equal(connections.Load(), int64(2))
}

// TestPartlyWrittenRequestIsNotTakenForUnsent guards against "not run" for a request of which a server
// has got a part: it reads the first bytes and resets the connection, new or used, for bodies that
// are written with the head, behind it, and beyond what the sockets hold.
func TestPartlyWrittenRequestIsNotTakenForUnsent(t *testing.T) {
	for _, bodyBytes := range []int{0, 600, 40 << 10, 8 << 20} {
		for _, readBytes := range []int{1, 100, 20 << 10} {
			for _, used := range []bool{false, true} {
				is := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				setReceiveBuffer(t, l)
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if used {
						_, _ = http.ReadRequest(bufio.NewReader(c))
						_, _ = io.WriteString(c, completeResponse)
					}
					_, _ = io.ReadFull(c, make([]byte, min(readBytes, 20+bodyBytes)))
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}()
				p := NewPool(DefaultOptions)
				if used {
					_, err := do(t, p, newGet(l.Addr().String()))
					is.NoErr(err)
				}
				r := newGet(l.Addr().String())
				r.Method, r.Body = http.MethodPost, make([]byte, bodyBytes)
				_, err = p.Do(t.Context(), r)
				var lost *LostError
				is.True(errors.As(err, &lost))
				is.NoErr(l.Close())
			}
		}
	}
}

// endingConn is a connection whose exchange is given up while a read is in progress, and that then
// receives the end of the response.
type endingConn struct {
	net.Conn
	end func()
}

func (c *endingConn) Read(p []byte) (int, error) {
	c.end()
	return copy(p, "0\r\n\r\n"), nil
}

func (c *endingConn) Close() error { return nil }

// TestResponseThatEndsBecauseItIsGivenUpIsIncomplete guards against a response that looks complete
// because its server, told of the end of the exchange, ended it in an orderly way.
func TestResponseThatEndsBecauseItIsGivenUpIsIncomplete(t *testing.T) {
	is := is.New(t)
	ending := &endingConn{}
	c := newConn(ending, "server")
	ending.end = func() { c.abort(0) }
	n, err := c.reader.Read(make([]byte, 10))
	is.Equal(n, 0)
	is.True(errors.Is(err, errGivenUp))
}
