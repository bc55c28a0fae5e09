// Package crowd sends what clients that don't stay inside the limits of a listener send: bodies that
// stop before their end, bodies over the limit, headers without end, and connections that stay idle.
package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// endlessBytes ends what is sent without end if the listener reads all of it.
	endlessBytes = 4 << 20
	// pieceBytes is the size of one write of what is sent without end.
	pieceBytes = 64 << 10
	// sendTimeout is how long a client writes to a listener that does not read.
	sendTimeout = 20 * time.Second
)

// Target is a listener and a request that its server handles.
type Target struct {
	// Address is the IP:port of the listener.
	Address string
	// Head is the request line and the headers of a request, each with its line end, without framing
	// of a body and without the empty line behind the headers.
	Head string
	// BodyBytes is the size of the largest body that the server takes.
	BodyBytes int
}

// Kind is a way in which clients leave the limits.
type Kind struct {
	Name string
	// send writes to a connection. It reports false if the connection was closed.
	send func(c net.Conn, t Target) bool
}

// Kinds are the kinds for listeners of HTTP/1.1.
var Kinds = []Kind{
	{"body one byte short", func(c net.Conn, t Target) bool {
		return write(c, t.Head, fmt.Sprintf("Content-Length: %d\r\n\r\n", t.BodyBytes)) && repeat(c, "b", t.BodyBytes-1)
	}},
	{"body over the limit", func(c net.Conn, t Target) bool {
		return write(c, t.Head, fmt.Sprintf("Content-Length: %d\r\n\r\n", 100*t.BodyBytes)) && repeat(c, "b", 2*t.BodyBytes)
	}},
	{"chunk one byte short", func(c net.Conn, t Target) bool {
		return write(c, t.Head, chunked, fmt.Sprintf("%x\r\n", t.BodyBytes)) && repeat(c, "b", t.BodyBytes-1)
	}},
	{"small chunks short of the end", func(c net.Conn, t Target) bool {
		const small = "1\r\nb\r\n"
		return write(c, t.Head, chunked) && repeat(c, small, min(t.BodyBytes-1, endlessBytes/len(small))*len(small))
	}},
	{"chunks over the limit", func(c net.Conn, t Target) bool {
		chunk := "10000\r\n" + strings.Repeat("b", 64<<10) + "\r\n"
		return write(c, t.Head, chunked) && repeat(c, chunk, 2*t.BodyBytes)
	}},
	{"trailers without end", func(c net.Conn, t Target) bool {
		return write(c, t.Head, chunked, "1\r\nb\r\n0\r\n") && repeat(c, "X-Trailer: t\r\n", endlessBytes)
	}},
	{"chunk extension without end", func(c net.Conn, t Target) bool {
		return write(c, t.Head, chunked, "1;") && repeat(c, "extension;", endlessBytes)
	}},
	{"chunk size without end", func(c net.Conn, t Target) bool { return write(c, t.Head, chunked) && repeat(c, "0", endlessBytes) }},
	{"header lines without end", func(c net.Conn, t Target) bool {
		if !write(c, t.Head) {
			return false
		}
		for i := 0; i*len("X000000:\r\n") < endlessBytes; i++ {
			if !write(c, fmt.Sprintf("X%06x:\r\n", i)) {
				return false
			}
		}
		return true
	}},
	{"header line without end", func(c net.Conn, t Target) bool { return write(c, t.Head, "X: ") && repeat(c, "x", endlessBytes) }},
	{"header that stops", func(c net.Conn, t Target) bool { return write(c, t.Head) }},
	{"request line without end", func(c net.Conn, _ Target) bool { return write(c, "GET /") && repeat(c, "x", endlessBytes) }},
	{"empty lines without end", func(c net.Conn, _ Target) bool { return repeat(c, "\r\n", endlessBytes) }},
	{"idle connection", func(net.Conn, Target) bool { return true }},
}

// chunked ends the headers of a request whose body comes in chunks.
const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// write writes the texts and reports whether all were written.
func write(c net.Conn, texts ...string) bool {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	return true
}

// repeat writes a text again and again, about the given number of bytes in all.
func repeat(c net.Conn, text string, bytes int) bool {
	piece := strings.Repeat(text, max(1, pieceBytes/len(text)))
	for ; bytes >= len(piece); bytes -= len(piece) {
		if !write(c, piece) {
			return false
		}
	}
	return write(c, strings.Repeat(text, bytes/len(text)))
}

// Send opens a connection for each client, sends what the kind says on all of them at the same time,
// and closes them once all have been written and hold has passed. It returns how many connections the
// listener had not closed while the client wrote.
func (k Kind) Send(t Target, clients int, hold time.Duration) (open int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	release := make(chan struct{})
	var sent sync.WaitGroup
	sent.Add(clients)
	for range clients {
		all.Go(func() {
			done := sync.OnceFunc(sent.Done)
			defer done()
			c, err := net.DialTimeout("tcp", t.Address, sendTimeout)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			if !k.send(c, t) {
				return
			}
			mu.Lock()
			open++
			mu.Unlock()
			done()
			<-release
		})
	}
	sent.Wait()
	time.Sleep(hold)
	close(release)
	all.Wait()
	return open
}
