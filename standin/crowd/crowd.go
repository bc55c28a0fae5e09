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
	// Request is a whole request that the server answers, for HoldingKinds.
	Request string
}

// Kind is a way in which clients leave the limits.
type Kind struct {
	Name string
	// send writes to a connection until it is closed. It reports whether all was written.
	send func(c net.Conn, t Target) bool
}

// Kinds are the kinds for listeners of HTTP/1.1.
var Kinds = []Kind{
	{Name: "body one byte short", send: func(c net.Conn, t Target) bool {
		return write(c, t.Head, fmt.Sprintf("Content-Length: %d\r\n\r\n", t.BodyBytes)) && repeat(c, "b", t.BodyBytes-1)
	}},
	{Name: "body over the limit", send: func(c net.Conn, t Target) bool {
		return write(c, t.Head, fmt.Sprintf("Content-Length: %d\r\n\r\n", 100*t.BodyBytes)) && repeat(c, "b", 2*t.BodyBytes)
	}},
	{Name: "chunk one byte short", send: func(c net.Conn, t Target) bool {
		return write(c, t.Head, chunked, fmt.Sprintf("%x\r\n", t.BodyBytes)) && repeat(c, "b", t.BodyBytes-1)
	}},
	{Name: "small chunks short of the end", send: func(c net.Conn, t Target) bool {
		const small = "1\r\nb\r\n"
		return write(c, t.Head, chunked) && repeat(c, small, min(t.BodyBytes-1, endlessBytes/len(small))*len(small))
	}},
	{Name: "chunks over the limit", send: func(c net.Conn, t Target) bool {
		chunk := "10000\r\n" + strings.Repeat("b", 64<<10) + "\r\n"
		return write(c, t.Head, chunked) && repeat(c, chunk, 2*t.BodyBytes)
	}},
	{Name: "trailers without end", send: func(c net.Conn, t Target) bool {
		return write(c, t.Head, chunked, "1\r\nb\r\n0\r\n") && repeat(c, "X-Trailer: t\r\n", endlessBytes)
	}},
	{Name: "chunk extension without end", send: func(c net.Conn, t Target) bool {
		return write(c, t.Head, chunked, "1;") && repeat(c, "extension;", endlessBytes)
	}},
	{Name: "chunk size without end", send: func(c net.Conn, t Target) bool { return write(c, t.Head, chunked) && repeat(c, "0", endlessBytes) }},
	{Name: "header lines without end", send: func(c net.Conn, t Target) bool {
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
	{Name: "header line without end", send: func(c net.Conn, t Target) bool { return write(c, t.Head, "X: ") && repeat(c, "x", endlessBytes) }},
	{Name: "header that stops", send: func(c net.Conn, t Target) bool { return write(c, t.Head) }},
	{Name: "request line without end", send: func(c net.Conn, _ Target) bool { return write(c, "GET /") && repeat(c, "x", endlessBytes) }},
	{Name: "empty lines without end", send: func(c net.Conn, _ Target) bool { return repeat(c, "\r\n", endlessBytes) }},
	{Name: "idle connection", send: func(net.Conn, Target) bool { return true }},
}

// HoldingKinds are the kinds whose clients try to keep connections for as long as they like.
var HoldingKinds = []Kind{
	{Name: "idle connection", send: func(net.Conn, Target) bool { return true }},
	{Name: "header that stops", send: func(c net.Conn, t Target) bool { return write(c, t.Head) }},
	{Name: "body that stops", send: func(c net.Conn, t Target) bool { return write(c, t.Head, "Content-Length: 10\r\n\r\nb") }},
	{Name: "refused body that stops", send: func(c net.Conn, _ Target) bool {
		return write(c, "POST /unknown HTTP/1.1\r\nHost: node\r\nContent-Length: 10\r\n\r\nb")
	}},
	{Name: "unread answers", send: func(c net.Conn, t Target) bool { return sendUntilBlocked(c, t.Request) }},
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

// blockedTime is how long a write must block before the server counts as blocked by unread answers.
const blockedTime = 4 * time.Second

// sendUntilBlocked sends requests and reads no answer, until the server doesn't read on.
func sendUntilBlocked(c net.Conn, request string) bool {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	requests := strings.Repeat(request, max(1, pieceBytes/len(request)))
	for begun := time.Now(); time.Since(begun) < sendTimeout; {
		_ = c.SetWriteDeadline(time.Now().Add(blockedTime))
		if !write(c, requests) {
			return true
		}
	}
	return false
}

// Send opens a connection for each client, sends what the kind says on all of them at the same time,
// and closes them once all have been written and hold has passed.
func (k Kind) Send(t Target, clients int, hold time.Duration) {
	end := k.Begin(t, clients)
	time.Sleep(hold)
	end()
}

// Begin is Send without the end: the connections stay open until end is called.
func (k Kind) Begin(t Target, clients int) (end func()) {
	var all, sent sync.WaitGroup
	release := make(chan struct{})
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
			k.send(c, t)
			done()
			<-release
		})
	}
	sent.Wait()
	return func() {
		close(release)
		all.Wait()
	}
}
