package tcpstate

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connect returns both ends of a TCP connection over loopback.
func connect(t testing.TB) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// awaitClosed waits until the peer's close has reached the connection.
func awaitClosed(t *testing.T, c net.Conn) {
	t.Helper()
	for {
		closed, err := PeerClosed(c)
		if err != nil {
			t.Fatal(err)
		}
		if closed {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestPeerCloseIsSeen guards against a close that stays hidden: behind unread data, as a reset,
// or of the sending side only.
func TestPeerCloseIsSeen(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"close":             func(c *net.TCPConn) { _ = c.Close() },
		"close behind data": func(c *net.TCPConn) { _, _ = io.WriteString(c, "unread"); _ = c.Close() },
		"reset":             func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"half-close":        func(c *net.TCPConn) { _ = c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			end(client)
			awaitClosed(t, server)
		})
	}
}

// TestOpenPeerIsNotTakenForClosed guards against requests that are dropped although their caller
// still waits, with and without unread data, and while another goroutine reads.
func TestOpenPeerIsNotTakenForClosed(t *testing.T) {
	is := is.New(t)
	client, server := connect(t)
	closed, err := PeerClosed(server)
	is.NoErr(err)
	is.True(!closed)
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		read <- err
	}()
	closed, err = PeerClosed(server)
	is.NoErr(err)
	is.True(!closed)
	_, err = io.WriteString(client, "xy")
	is.NoErr(err)
	is.NoErr(<-read)
	closed, err = PeerClosed(server)
	is.NoErr(err)
	is.True(!closed)
}

// TestUnacknowledgedBytesAreCounted guards against taking a request for delivered that still
// lies in the socket of the node, and the reverse.
func TestUnacknowledgedBytesAreCounted(t *testing.T) {
	is := is.New(t)
	client, server := connect(t)
	is.NoErr(client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
	// The peer doesn't read, so the last bytes stay in the socket.
	for {
		if _, err := client.Write(make([]byte, 64<<10)); err != nil {
			break
		}
	}
	n, err := Unacknowledged(client)
	is.NoErr(err)
	is.True(n > 0)
	_, err = io.WriteString(server, "x")
	is.NoErr(err)
	for n = 1; n > 0; {
		n, err = Unacknowledged(server)
		is.NoErr(err)
	}
}

// TestAgeOfLastData guards against an age of received data that is above the true one: a caller's
// deadline would be taken for reached too early.
func TestAgeOfLastData(t *testing.T) {
	is := is.New(t)
	client, server := connect(t)
	before := time.Now()
	_, err := io.WriteString(client, "x")
	is.NoErr(err)
	for {
		age, err := SinceLastData(server)
		is.NoErr(err)
		// The kernel counts in ticks of up to 10 ms.
		is.True(age <= time.Since(before)+10*time.Millisecond)
		if age >= 50*time.Millisecond {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestConnectionWithoutSocket guards against a connection without a socket being taken for
// closed or open.
func TestConnectionWithoutSocket(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	_, err := PeerClosed(client)
	is.Equal(err, ErrUnsupported)
}

func BenchmarkPeerClosed(b *testing.B) {
	_, server := connect(b)
	for b.Loop() {
		if _, err := PeerClosed(server); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSinceLastData(b *testing.B) {
	_, server := connect(b)
	for b.Loop() {
		if _, err := SinceLastData(server); err != nil {
			b.Fatal(err)
		}
	}
}
