package tcpproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/tcpstate"
)

// TestResetBehindEndIsForwarded guards against a proxy that hides from servers that a client has
// given up: the client ends its side in an orderly way, then resets the connection.
func TestResetBehindEndIsForwarded(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	p, err := New("127.0.0.1:0", l.Addr().String())
	is.NoErr(err)
	defer p.Close()
	client, err := net.Dial("tcp", p.Address())
	is.NoErr(err)
	server, err := l.Accept()
	is.NoErr(err)
	defer server.Close()
	_, err = io.WriteString(client, "request")
	is.NoErr(err)
	is.NoErr(client.(*net.TCPConn).CloseWrite())
	received, err := io.ReadAll(server)
	is.NoErr(err)
	is.Equal(string(received), "request")
	wasReset, err := tcpstate.WasReset(server)
	is.NoErr(err)
	is.True(!wasReset)
	is.NoErr(client.(*net.TCPConn).SetLinger(0))
	is.NoErr(client.Close())
	for deadline := time.Now().Add(10 * time.Second); !wasReset && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		wasReset, err = tcpstate.WasReset(server)
		is.NoErr(err)
	}
	is.True(wasReset)
}
