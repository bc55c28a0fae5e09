package inbound

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/membudget"
	"github.com/figweir/figweir/standin/propertytest"
)

func init() { propertytest.SetFlags(map[string]string{"rapid.checks": "300"}) }

// scriptedConn is a connection on which the client sends parts, each in a segment of its own, and closes
// its side.
type scriptedConn struct {
	parts   [][]byte
	answers bytes.Buffer
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	if c.parts[0] = c.parts[0][n:]; len(c.parts[0]) == 0 {
		c.parts = c.parts[1:]
	}
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error)      { return c.answers.Write(p) }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// oneConnListener accepts a single connection.
type oneConnListener struct{ c net.Conn }

func (l *oneConnListener) Accept() (net.Conn, error) {
	if l.c == nil {
		return nil, net.ErrClosed
	}
	c := l.c
	l.c = nil
	return c, nil
}

func (l *oneConnListener) Close() error   { return nil }
func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// servedRequest is a request that the handler got.
type servedRequest struct{ Line, Body string }

// serve serves the parts and returns the requests that the handler got, and the statuses of the answers. The
// handler reads the bodies if readBodies is set.
func serve(parts [][]byte, readBodies bool) (served []servedRequest, statuses []int) {
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body []byte
		if readBodies {
			body, _ = io.ReadAll(r.Body)
		}
		served = append(served, servedRequest{r.Method + " " + r.RequestURI, string(body)})
	})}
	Attach(s, HTTP1, RefuseInText)
	closed := make(chan struct{})
	s.ConnState = func(c net.Conn, state http.ConnState) {
		TrackConnState(c, state)
		if state == http.StateClosed {
			close(closed)
		}
	}
	const accountBytes = 64 << 20
	account := membudget.NewInbound(accountBytes, 1, func(string) {})
	c := &scriptedConn{parts: parts}
	_ = s.Serve(NewListener(&oneConnListener{c}, account, "callers", HTTP1))
	<-closed
	answers := bufio.NewReader(&c.answers)
	for {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return served, statuses
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusContinue {
			statuses = append(statuses, resp.StatusCode)
		}
	}
}

// split cuts a text into parts of random sizes.
func split(t *rapid.T, text string) (parts [][]byte) {
	largest := rapid.SampledFrom([]int{1, 7, 500, 4096, len(text)}).Draw(t, "largest part")
	for rest := []byte(text); len(rest) > 0; {
		n := rapid.IntRange(1, min(largest, len(rest))).Draw(t, "part")
		parts, rest = append(parts, rest[:n]), rest[n:]
	}
	return parts
}

// drawFields returns fields that don't frame a request, some of which look as if they did. Their size is up
// to twice the read buffer of net/http.
func drawFields(t *rapid.T) string {
	return strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{
		"X-Content-Length: 7\r\n", "Content-Length-X: 7\r\n", "X-Note: content-length: 7\r\n", "X-Folded: a\r\n Content-Length: 7\r\n",
		"X-Long: " + strings.Repeat("n", 900) + "\r\n", "X-Longest: " + strings.Repeat("n", 5000) + "\r\n", "Connection: keep-alive\r\n", "X-Bare: b\n",
	}), 0, 3).Draw(t, "fields"), "")
}

// drawSound returns a sound request and its body.
func drawSound(t *rapid.T, line string) (text, body string) {
	body = rapid.SampledFrom([]string{"", "b", "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\n", strings.Repeat("body", 2000)}).Draw(t, "body")
	head := line + " HTTP/1.1\r\nHost: h\r\n" + drawFields(t)
	end := drawFields(t) + "\r\n"
	if rapid.Bool().Draw(t, "chunked") {
		return head + "Transfer-Encoding: chunked\r\n" + end + drawChunks(t, body), body
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n", len(body)) + end + body, body
}

// maxChunks is how many chunks a body has at most. net/http refuses bodies with 16 KB more overhead than data,
// and the longest extension makes a chunk with about 105 bytes of it.
const maxChunks = 150

// drawChunks returns a body in chunks.
func drawChunks(t *rapid.T, body string) string {
	var b strings.Builder
	for i := 1; len(body) > 0; i++ {
		n := len(body)
		if i < maxChunks {
			n = rapid.IntRange(1, len(body)).Draw(t, "chunk")
		}
		extension := rapid.SampledFrom([]string{"", ";a=b", " ", ";" + strings.Repeat("e", 100)}).Draw(t, "extension")
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", n, extension, body[:n])
		body = body[n:]
	}
	b.WriteString(rapid.SampledFrom([]string{"0\r\n\r\n", "00;a\r\n\r\n", "0\r\nX-Trailer: Content-Length: 7\r\n\r\n"}).Draw(t, "last chunk"))
	return b.String()
}

// drawUnsound returns a request that states two ends, with a request between them.
func drawUnsound(t *rapid.T, line string) string {
	body := rapid.SampledFrom([]string{"0\r\n\r\n", "1\r\nb\r\n0\r\n\r\n"}).Draw(t, "outer body") + "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	length := fmt.Sprintf(rapid.SampledFrom([]string{
		"Content-Length: %d\r\n", "content-length:%d\r\n", "CONTENT-LENGTH: \t%d \r\n", "Content-Length: %d\n", "Content-Length:\r\n %d\r\n",
		"Content-Length: 0%d\r\n", "Content-Length:" + strings.Repeat(" ", 80) + "%d\r\n",
	}).Draw(t, "length"), len(body))
	encoding := rapid.SampledFrom([]string{
		"Transfer-Encoding: chunked\r\n", "transfer-encoding:Chunked\r\n", "Transfer-Encoding: chunked\n", "Transfer-Encoding:\r\n\tchunked\r\n",
	}).Draw(t, "encoding")
	version := rapid.SampledFrom([]string{"HTTP/1.1", "HTTP/1.0", "HTTP/1.9"}).Draw(t, "version")
	framing := rapid.Permutation([]string{length, encoding, drawFields(t)}).Draw(t, "order")
	return line + " " + version + "\r\nHost: h\r\n" + drawFields(t) + strings.Join(framing, "") + drawFields(t) + "\r\n" + body
}

// TestSoundRequestsAreServedUpToAnUnsoundOne guards against request smuggling, and against sound requests
// that are refused, changed or served twice: on a connection with any number of sound requests, chunked or
// not, all of them are served once, in their order and with their bodies, up to one that states two ends. That
// one is refused, and nothing behind it is served, wherever the reads of the connection end.
func TestSoundRequestsAreServedUpToAnUnsoundOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		readBodies := rapid.Bool().Draw(t, "handler reads bodies")
		var text string
		var want []servedRequest
		var wantStatuses []int
		for i := range rapid.IntRange(0, 6).Draw(t, "sound requests") {
			line := fmt.Sprintf("%s /%d", rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "method"), i)
			request, body := drawSound(t, line)
			if !readBodies {
				body = ""
			}
			text += request
			if strings.HasPrefix(line, "POST") {
				// net/http skips it, as RFC 9112 (2.2) allows.
				text += rapid.SampledFrom([]string{"", "\r\n"}).Draw(t, "empty line")
			}
			want, wantStatuses = append(want, servedRequest{line, body}), append(wantStatuses, http.StatusOK)
		}
		if rapid.Bool().Draw(t, "unsound request") {
			text += drawUnsound(t, rapid.SampledFrom([]string{"POST /outer", "GET /outer", "OPTIONS *"}).Draw(t, "outer"))
			behind, _ := drawSound(t, "GET /behind")
			text += behind
			wantStatuses = append(wantStatuses, http.StatusBadRequest)
		}
		served, statuses := serve(split(t, text), readBodies)
		if fmt.Sprint(served) != fmt.Sprint(want) || fmt.Sprint(statuses) != fmt.Sprint(wantStatuses) {
			t.Fatalf("served %.300q with %v, not %.300q with %v", served, statuses, want, wantStatuses)
		}
	})
}

// TestMalformedFramingIsRefused guards against a framing that net/http accepts and another server on the way
// may read differently: the request behind it is refused.
func TestMalformedFramingIsRefused(t *testing.T) {
	const head, next = "POST / HTTP/1.1\r\nHost: h\r\n", "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, test := range map[string]struct {
		text  string
		ahead int
	}{
		"folded length":                 {head + "Content-Length:\r\n 1\r\n\r\nb" + next, 0},
		"folded encoding":               {head + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + next, 0},
		"encoding in HTTP/1.0":          {"POST / HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + next, 0},
		"trailer with a bare line feed": {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: y\n\n" + next + "\r\n\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served, statuses := serve([][]byte{[]byte(test.text)}, true)
			is.Equal(len(served), test.ahead)
			is.Equal(statuses[len(statuses)-1], http.StatusBadRequest)
		})
	}
}

// requestLines returns the lines that framing takes for request lines.
func requestLines(stream []byte) (lines []string) {
	var f framing
	var current []byte
	for _, b := range stream {
		before, inBody := f.part, f.unread > 0
		f.read([]byte{b})
		if before != partRequestLine || inBody {
			continue
		}
		current = append(current, b)
		if b != '\n' {
			continue
		}
		if f.part == partHeader {
			lines = append(lines, string(current))
		}
		current = nil
	}
	return lines
}

// FuzzFraming guards against a request that net/http sees elsewhere than framing does: each request that is
// served begins with the line that framing takes for its request line.
func FuzzFraming(f *testing.F) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	for _, s := range []string{
		head + "Content-Length: 3\r\n\r\nabc\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n1;e\r\na\r\n0\r\nX: y\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + head + "\r\n",
		"\r\n" + head + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n\n\r\r\nGET /2 HTTP/1.0\nConnection: keep-alive\n\n" + head + "\n",
	} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		lines := requestLines(stream)
		var parts [][]byte
		size = max(1, size)
		for rest := bytes.Clone(stream); len(rest) > 0; {
			n := min(size, len(rest))
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		served, _ := serve(parts, true)
		if len(served) > len(lines) {
			t.Fatalf("served %q, request lines %q", served, lines)
		}
		for i, r := range served {
			if !strings.HasPrefix(strings.TrimLeft(lines[i], "\r\n"), r.Line+" ") {
				t.Fatalf("request %d is %q, its line is %q", i, r.Line, lines[i])
			}
		}
	})
}

// BenchmarkFraming measures what it costs to follow a request with an ordinary head.
func BenchmarkFraming(b *testing.B) {
	request := []byte("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Header-Name: a value of forty bytes, more or less\r\n", 10) +
		"Content-Length: 2000\r\n\r\n" + strings.Repeat("b", 2000))
	var f framing
	b.SetBytes(int64(len(request)))
	for b.Loop() {
		f.read(request)
		if err := f.admit(); err != nil {
			b.Fatal(err)
		}
	}
}
