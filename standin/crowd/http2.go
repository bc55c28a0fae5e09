package crowd

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// HTTP2Target is a listener of HTTP/2 without TLS, and an RPC that its server handles.
type HTTP2Target struct {
	// Address is the IP:port of the listener, Path the path of a unary RPC.
	Address, Path string
	// MessageBytes is the size of the messages that are sent.
	MessageBytes int
	// Secret is the bearer token of the calls; empty for none.
	Secret string
}

// streamsPerConnection is how many requests a client sends at the same time on one connection.
const streamsPerConnection = 8

// HTTP2Kind is a way in which clients of HTTP/2 leave the limits.
type HTTP2Kind struct {
	Name string
	// send occupies a connection until ctx ends. It calls sent once all is written.
	send func(ctx context.Context, t HTTP2Target, sent func())
}

// HTTP2Kinds are the kinds for listeners of HTTP/2.
var HTTP2Kinds = []HTTP2Kind{
	{"messages one byte short", func(ctx context.Context, t HTTP2Target, sent func()) {
		calls(ctx, t, sent, "", func() io.Reader {
			return io.LimitReader(repeater('b'), int64(t.MessageBytes-1))
		})
	}},
	{"compressed messages", func(ctx context.Context, t HTTP2Target, sent func()) {
		message := compressed(t.MessageBytes)
		calls(ctx, t, sent, "gzip", func() io.Reader { return bytes.NewReader(message) })
	}},
	{"headers without end", func(ctx context.Context, t HTTP2Target, sent func()) {
		onConnection(ctx, t, sent, func(c net.Conn) { endlessHeaders(c, t.Path) })
	}},
	{"large headers of open requests", func(ctx context.Context, t HTTP2Target, sent func()) {
		onConnection(ctx, t, sent, func(c net.Conn) { largeHeaders(c, t.Path) })
	}},
	{"frame one byte short", func(ctx context.Context, t HTTP2Target, sent func()) {
		onConnection(ctx, t, sent, func(c net.Conn) { unfinishedFrame(c, t.Path) })
	}},
	{"pings whose answers are not read", func(ctx context.Context, t HTTP2Target, sent func()) {
		onConnection(ctx, t, sent, func(c net.Conn) { endlessPings(c) })
	}},
	{"requests that are reset", func(ctx context.Context, t HTTP2Target, sent func()) {
		onConnection(ctx, t, sent, func(c net.Conn) { resetRequests(c, t.Path) })
	}},
	{"idle connection", func(ctx context.Context, t HTTP2Target, sent func()) {
		onConnection(ctx, t, sent, func(c net.Conn) { begin(c) })
	}},
	{"no preface", func(ctx context.Context, t HTTP2Target, sent func()) {
		onConnection(ctx, t, sent, func(net.Conn) {})
	}},
}

// UnreadAnswers is a kind of its own, for RPCs with large answers: the clients accept no byte of them.
var UnreadAnswers = HTTP2Kind{"unread answers", func(ctx context.Context, t HTTP2Target, sent func()) {
	onConnection(ctx, t, sent, func(c net.Conn) { unreadAnswers(c, t.Path) })
}}

// unreadCalls is how many calls a client makes on one connection whose answers it doesn't read.
const unreadCalls = 100

// unreadAnswers makes calls with an empty message and leaves the server no room for their answers.
func unreadAnswers(c net.Conn, path string) {
	f := begin(c, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	for i := range unreadCalls {
		h := http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: headerBlock(path, 0), EndHeaders: true, EndStream: true}
		if f.WriteHeaders(h) != nil {
			return
		}
	}
}

// repeater is a reader without end that repeats a byte.
type repeater byte

// Read implements io.Reader.
func (r repeater) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r)
	}
	return len(p), nil
}

// compressed returns size bytes compressed by gzip.
func compressed(size int) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = io.CopyN(w, repeater('b'), int64(size))
	_ = w.Close()
	return out.Bytes()
}

// unfinishedBody reads a body and then waits until ctx ends.
type unfinishedBody struct {
	ctx  context.Context
	body io.Reader
	read func()
}

// Read implements io.Reader.
func (b *unfinishedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != io.EOF {
		return n, err
	}
	b.read()
	<-b.ctx.Done()
	return n, b.ctx.Err()
}

// calls sends streamsPerConnection requests on one connection whose bodies don't end.
func calls(ctx context.Context, t HTTP2Target, sent func(), encoding string, body func() io.Reader) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var all, read sync.WaitGroup
	read.Add(streamsPerConnection)
	for range streamsPerConnection {
		all.Go(func() {
			done := sync.OnceFunc(read.Done)
			defer done()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+t.Path, &unfinishedBody{ctx: ctx, body: body(), read: done})
			if err != nil {
				return
			}
			r.Header.Set("Content-Type", "application/proto")
			if t.Secret != "" {
				r.Header.Set("Authorization", "Bearer "+t.Secret)
			}
			if encoding != "" {
				r.Header.Set("Content-Encoding", encoding)
			}
			resp, err := transport.RoundTrip(r)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	read.Wait()
	sent()
	all.Wait()
}

// onConnection writes to a connection of its own, which stays open until ctx ends.
func onConnection(ctx context.Context, t HTTP2Target, sent func(), write func(c net.Conn)) {
	c, err := net.DialTimeout("tcp", t.Address, sendTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	write(c)
	sent()
	<-ctx.Done()
}

// begin starts HTTP/2 on a connection.
func begin(c net.Conn, settings ...http2.Setting) *http2.Framer {
	f := http2.NewFramer(c, c)
	_, _ = io.WriteString(c, http2.ClientPreface)
	_ = f.WriteSettings(settings...)
	return f
}

// headerBlock returns the encoded headers of a request with an additional header of the given size.
func headerBlock(path string, extraBytes int) []byte {
	var out bytes.Buffer
	e := hpack.NewEncoder(&out)
	for _, field := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", path}, {":authority", "node"}, {"content-type", "application/proto"},
	} {
		_ = e.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	if extraBytes > 0 {
		// A sensitive field does not enter the table of the connection.
		_ = e.WriteField(hpack.HeaderField{Name: "x", Value: strings.Repeat("x", extraBytes), Sensitive: true})
	}
	return out.Bytes()
}

// frameBytes is the size of the frames that are sent: the largest that all servers take.
const frameBytes = 16 << 10

// endlessHeaders sends one header block without end.
func endlessHeaders(c net.Conn, path string) {
	f := begin(c)
	if f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: headerBlock(path, 0)}) != nil {
		return
	}
	var field bytes.Buffer
	e := hpack.NewEncoder(&field)
	_ = e.WriteField(hpack.HeaderField{Name: "x", Value: strings.Repeat("x", 100), Sensitive: true})
	fragment := bytes.Repeat(field.Bytes(), frameBytes/field.Len())
	for written := 0; written < endlessBytes; written += len(fragment) {
		if f.WriteContinuation(1, false, fragment) != nil {
			return
		}
	}
}

// largeHeadersBytes is the size of the headers of one request, below the default limit of servers.
const largeHeadersBytes = 512 << 10

// largeHeaders begins requests with large headers whose bodies never come.
func largeHeaders(c net.Conn, path string) {
	f := begin(c)
	for i := range streamsPerConnection {
		block := headerBlock(path, largeHeadersBytes)
		id := uint32(2*i + 1)
		first := true
		for len(block) > 0 {
			fragment := block[:min(len(block), frameBytes)]
			block = block[len(fragment):]
			var err error
			if first {
				err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: fragment, EndHeaders: len(block) == 0})
			} else {
				err = f.WriteContinuation(id, len(block) == 0, fragment)
			}
			if err != nil {
				return
			}
			first = false
		}
	}
}

// endlessPings sends pings and reads no answer, until the server doesn't read on.
func endlessPings(c net.Conn) {
	begin(c)
	var ping bytes.Buffer
	_ = http2.NewFramer(&ping, nil).WritePing(false, [8]byte{})
	sendUntilBlocked(c, ping.String())
}

// resetCount is how many requests a client sends that it resets at once.
const resetCount = 20_000

// resetRequests sends requests with headers and resets each of them at once.
func resetRequests(c net.Conn, path string) {
	f := begin(c)
	block := headerBlock(path, frameBytes/2)
	for i := range resetCount {
		id := uint32(2*i + 1)
		if f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block, EndHeaders: true}) != nil {
			return
		}
		if f.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			return
		}
	}
}

// announcedFrameBytes is the size of a frame that never ends. A server that takes frames of up to
// 1 MiB keeps a buffer of this size.
const announcedFrameBytes = 1 << 20

// unfinishedFrame begins a request and announces a large frame of its body, of which the last byte
// never comes.
func unfinishedFrame(c net.Conn, path string) {
	f := begin(c)
	if f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: headerBlock(path, 0), EndHeaders: true}) != nil {
		return
	}
	const size = announcedFrameBytes
	header := []byte{size >> 16, size >> 8 & 0xff, size & 0xff, byte(http2.FrameData), 0, 0, 0, 0, 1}
	if _, err := c.Write(header); err == nil {
		repeat(c, "b", size-1)
	}
}

// Send opens a connection for each client, sends what the kind says on all of them at the same time,
// and closes them once all have been written, or sendTimeout has passed, and then hold.
func (k HTTP2Kind) Send(t HTTP2Target, clients int, hold time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all, written sync.WaitGroup
	written.Add(clients)
	for range clients {
		all.Go(func() {
			sent := sync.OnceFunc(written.Done)
			defer sent()
			k.send(ctx, t, sent)
		})
	}
	allWritten := make(chan struct{})
	go func() { written.Wait(); close(allWritten) }()
	select {
	case <-allWritten:
	case <-time.After(sendTimeout):
	}
	time.Sleep(hold)
	cancel()
	all.Wait()
}
