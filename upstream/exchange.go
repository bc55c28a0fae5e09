package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// NotSentError means that the backend server cannot have received the request.
type NotSentError struct {
	Address string
	// Connected is set if there was a connection, to which nothing was written.
	Connected bool
	Cause     error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("upstream: request not sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError means that at least a part of the request was sent and no complete response
// arrived: the backend server may have run the request.
type LostError struct {
	Address string
	// Reused is true if the connection had carried an earlier request.
	Reused bool
	Cause  error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("upstream: no complete response from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// ErrResponseMismatch is the cause of a LostError if the backend server sent responses to
// other requests instead of the expected one.
var ErrResponseMismatch = errors.New("response belongs to another request")

// ErrHeaderTooLarge is the cause of a LostError if the response header, including the
// interim responses before it, is larger than maxHeaderBytes.
var ErrHeaderTooLarge = errors.New("response header too large")

// Request is an HTTP request to a backend server.
type Request struct {
	Address string
	Method  string
	// Target is the request target. It is written unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// BodyParts follow Body; together they are the body of the request.
	BodyParts [][]byte
	// HoldBody is called if the body is still written when Do returns. What it returns is called when
	// the body is not used any more. It may be nil.
	HoldBody func() (release func())
	// NewConnection is set if no idle connection may be used.
	NewConnection bool
	// Matches reports whether a response with the given header answers this request.
	// If nil, every response does.
	Matches func(http.Header) bool
	// Trace is told how far the request was sent; it may be nil.
	Trace Trace
}

// bodyBytes returns the length of the body.
func (r *Request) bodyBytes() int {
	n := len(r.Body)
	for _, part := range r.BodyParts {
		n += len(part)
	}
	return n
}

// Trace records the steps of one exchange. Its methods may be called from any goroutine and must
// not block.
type Trace interface {
	// BeforeWrite is called once there is a connection, right before the first byte is
	// written. If it returns an error, nothing is sent, and Do fails with a NotSentError that
	// wraps the error.
	BeforeWrite(at time.Time) error
	// Written is called when the request, up to its body if that is long, has been handed to
	// the kernel.
	Written(at time.Time)
	// GivenUp is called when the exchange ends before its response is complete. unacknowledged
	// is the number of written bytes that the server has not acknowledged, -1 if unknown.
	GivenUp(at time.Time, unacknowledged int)
}

// noTrace records nothing.
type noTrace struct{}

func (noTrace) BeforeWrite(time.Time) error { return nil }
func (noTrace) Written(time.Time)           {}
func (noTrace) GivenUp(time.Time, int)      {}

// maxInlineBodyBytes is the largest body that is written before the response is read. A
// longer body is written concurrently, because a backend server may respond before it has
// read the complete body.
const maxInlineBodyBytes = 16 << 10

// minStatus and maxStatus are the range of the statuses of HTTP (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// maxMismatchedResponses is how many responses to other requests are skipped.
const maxMismatchedResponses = 2

// maxMismatchedBytes is how long the body of such a response may be.
const maxMismatchedBytes = 1 << 20

// Response is a backend server's response. Read Body until io.EOF, then call Close. Any
// other error of Body means that the response is incomplete.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Delimited is false if the response ends where the connection ends.
	Delimited bool
	// Reused is true if the connection had carried an earlier exchange, whose response the
	// backend server may have sent again.
	Reused bool
	// Skipped is set if responses to other requests came before this one.
	Skipped bool
	// ConnectionAge is the time since the connection was established, when the request was
	// written.
	ConnectionAge time.Duration
	// WrittenBytes counts the bytes of the request that were written before the response was
	// read; a long body is written later.
	WrittenBytes int
	// ContentLength is the length of the body, or -1 if the header does not state it.
	ContentLength int64

	pool            *Pool
	conn            *conn
	ctx             context.Context
	trace           Trace
	stopWatchingCtx func() bool
	// keepIdle is how long the connection may stay idle after Close; it is not reused
	// if this is 0 or less.
	keepIdle time.Duration
	// bodyRead is set once the response body has been read to its end.
	bodyRead bool
	// bodyWrite is the concurrent write of a long request body; nil for others.
	bodyWrite *bodyWrite
}

// bodyWrite is the concurrent write of a request body.
type bodyWrite struct {
	// done is closed when the write has ended; err is its result.
	done chan struct{}
	err  error
}

// succeeded reports whether the complete body has been written.
func (w *bodyWrite) succeeded() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// Do writes a request and reads the header of the response. The error is a *NotSentError
// or a *LostError. If ctx ends before Close, the exchange fails and the connection is
// closed at once, see conn.abort.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.getConn(ctx, r)
	if err != nil {
		return nil, &NotSentError{Address: r.Address, Cause: err}
	}
	resp := &Response{pool: p, conn: c, ctx: ctx, Reused: c.reused, ConnectionAge: time.Since(c.establishedAt), trace: r.Trace}
	if resp.trace == nil {
		resp.trace = noTrace{}
	}
	if err := resp.checkBeforeWrite(ctx); err != nil {
		p.putBack(c)
		return nil, &NotSentError{Address: r.Address, Connected: true, Cause: err}
	}
	resp.stopWatchingCtx = context.AfterFunc(ctx, resp.giveUp)
	sent, err := resp.writeRequest(r)
	resp.trace.Written(time.Now())
	if err != nil {
		resp.closeConn()
		if !sent {
			return nil, &NotSentError{Address: r.Address, Connected: true, Cause: err}
		}
		return nil, p.lostError(ctx, c, err)
	}
	if err := resp.readHeader(r); err != nil {
		resp.closeConn()
		return nil, p.lostError(ctx, c, err)
	}
	return resp, nil
}

// checkBeforeWrite returns the reason why the request must not be sent any more, or nil. The
// context has to be checked here too: an idle connection is had without a wait that would notice
// its end.
func (resp *Response) checkBeforeWrite(ctx context.Context) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return resp.trace.BeforeWrite(time.Now())
}

// lostError returns a LostError. If ctx has ended, that is the cause.
func (p *Pool) lostError(ctx context.Context, c *conn, err error) error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return &LostError{Address: c.address, Reused: c.reused, Cause: err}
}

// writeRequest writes the request. sent is true if any byte may have been sent.
func (resp *Response) writeRequest(r *Request) (sent bool, err error) {
	bodyBytes := r.bodyBytes()
	header := appendHeader(make([]byte, 0, 1024+min(bodyBytes, maxInlineBodyBytes)), r, bodyBytes)
	if bodyBytes <= maxInlineBodyBytes {
		header = append(header, r.Body...)
		for _, part := range r.BodyParts {
			header = append(header, part...)
		}
		resp.WrittenBytes, err = resp.conn.Write(header)
		return resp.WrittenBytes > 0, err
	}
	if resp.WrittenBytes, err = resp.conn.Write(header); err != nil {
		return resp.WrittenBytes > 0, err
	}
	release := func() {}
	if r.HoldBody != nil {
		release = r.HoldBody()
	}
	resp.bodyWrite = &bodyWrite{done: make(chan struct{})}
	go resp.bodyWrite.run(resp.conn, r.Body, r.BodyParts, release)
	return true, nil
}

// run writes the parts of a body.
func (w *bodyWrite) run(c *conn, first []byte, parts [][]byte, release func()) {
	defer close(w.done)
	defer release()
	_, w.err = c.Write(first)
	for _, part := range parts {
		if w.err != nil {
			return
		}
		_, w.err = c.Write(part)
	}
}

func appendHeader(b []byte, r *Request, bodyBytes int) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if bodyBytes > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(bodyBytes), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readHeader reads the header of the response. It skips interim responses and complete
// responses to other requests; after the latter the connection is not reused.
func (resp *Response) readHeader(r *Request) error {
	for range maxMismatchedResponses + 1 {
		httpResp, err := readResponse(resp.conn, r.Method)
		if err != nil {
			return err
		}
		if r.Matches == nil || r.Matches(httpResp.Header) {
			resp.setResponse(httpResp)
			return nil
		}
		resp.Skipped = true
		if httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 {
			return ErrResponseMismatch
		}
		n, err := io.CopyN(io.Discard, httpResp.Body, maxMismatchedBytes+1)
		if n > maxMismatchedBytes {
			return ErrResponseMismatch
		}
		if err != nil && err != io.EOF {
			return err
		}
	}
	return ErrResponseMismatch
}

// readResponse reads the next response that is not an interim one.
func readResponse(c *conn, method string) (*http.Response, error) {
	c.header.beginHeader()
	defer c.header.endHeader()
	request := &http.Request{Method: method}
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil && c.header.remaining == 0 {
			// A header that is truncated at the limit may fail to parse.
			return nil, ErrHeaderTooLarge
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
			return nil, fmt.Errorf("status %03d is not that of a response", resp.StatusCode)
		}
		interim := resp.StatusCode >= 100 && resp.StatusCode < 200
		if !interim {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("unexpected protocol switch")
		}
	}
}

// setResponse sets the exported fields and how long the connection may be kept.
func (resp *Response) setResponse(httpResp *http.Response) {
	resp.Status, resp.Header, resp.ContentLength = httpResp.StatusCode, httpResp.Header, httpResp.ContentLength
	resp.Delimited = httpResp.ContentLength >= 0 || len(httpResp.TransferEncoding) > 0
	resp.Body = &bodyReader{response: resp, body: httpResp.Body}
	if resp.Delimited && !httpResp.Close && !resp.Skipped {
		resp.keepIdle = resp.pool.keepIdleFor(httpResp.Header)
	}
}

// keepIdleFor returns how long the connection may stay idle, given the response header.
func (p *Pool) keepIdleFor(h http.Header) time.Duration {
	value := h.Get("Keep-Alive")
	if value == "" {
		return p.options.IdleTimeout
	}
	for _, field := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			return 0
		}
		return time.Duration(seconds)*time.Second - p.options.IdleMargin
	}
	return p.options.IdleTimeout
}

// bodyReader records whether the body was read to its end. It returns an error in place of io.EOF if
// nothing but the end of the connection ends the body, and that does not show that it is complete.
type bodyReader struct {
	response *Response
	body     io.ReadCloser
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	begun := time.Now()
	n, err := b.body.Read(p)
	if err == io.EOF && !b.response.Delimited {
		if cause := b.response.checkEnd(begun); cause != nil {
			err = cause
		}
	}
	if err == io.EOF {
		b.response.bodyRead = true
	} else if err != nil && b.response.ctx.Err() != nil {
		err = context.Cause(b.response.ctx)
	}
	return n, err
}

// Close ends the exchange. The connection is reused only if the request was written
// completely, the response was read to its end, and no data follows the response.
func (resp *Response) Close() {
	if !resp.stopWatchingCtx() || !resp.bodyRead || resp.keepIdle <= 0 || !resp.bodyWrite.succeeded() || resp.conn.reader.Buffered() > 0 {
		resp.closeConn()
		return
	}
	resp.conn.reused = true
	resp.pool.putIdle(resp.conn, resp.keepIdle)
}

// closeConn closes the connection.
func (resp *Response) closeConn() {
	resp.stopWatchingCtx()
	if resp.bodyRead {
		resp.conn.close()
		return
	}
	resp.giveUp()
}

// giveUp ends the exchange before the response is complete, at once and at the backend server too:
// whoever relays the response may be busy elsewhere. It may be called more than once, from any
// goroutine.
func (resp *Response) giveUp() {
	unacknowledged := resp.conn.unacknowledged()
	resp.trace.GivenUp(time.Now(), unacknowledged)
	resp.conn.abort(unacknowledged)
}
