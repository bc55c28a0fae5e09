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

// NotSentError means that the backend server can't have received the request.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("upstream: not sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError means that the request was sent, whole or in part, and no whole
// answer came: the backend server may have run it.
type LostError struct {
	Address string
	// Reused tells that the connection had carried an earlier request.
	Reused bool
	Cause  error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("upstream: answer of %s lost: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// ErrForeignAnswer is the cause of a LostError if the backend server sent
// answers to other requests in place of the one that was waited for.
var ErrForeignAnswer = errors.New("answer belongs to another request")

// ErrLargeHead is the cause of a LostError if the head of the answer, with interim
// answers before it, is longer than maxHeadBytes.
var ErrLargeHead = errors.New("head of the answer too large")

// Request is one request, ready to be written.
type Request struct {
	Address string
	Method  string
	// Target is the request target, written unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs reports whether an answer is the one to this request. Nil takes
	// every answer.
	Belongs func(http.Header) bool
}

// inlineBodyBytes is the largest body that is written before the answer is
// read. A longer one is written at the same time, because a backend server may
// answer before it has read the whole body.
const inlineBodyBytes = 16 << 10

// maxForeignAnswers bounds how many answers to other requests are passed over.
const maxForeignAnswers = 2

// Answer is the answer of a backend server. Read the body through Body until
// io.EOF, then call Close. An error of Body other than io.EOF means that the
// answer is not complete.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Delimited is false if the end of the answer is the end of the connection.
	Delimited bool
	// ContentLength is the length of the body, or -1 if the head does not say.
	ContentLength int64

	pool     *Pool
	conn     *conn
	stop     func() bool
	keep     time.Duration
	complete bool
	written  <-chan error
	foreign  bool
}

// Do writes a request and reads the head of its answer. The error is a
// *NotSentError or a *LostError. The exchange ends, and its connection is
// closed, when ctx ends.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx, r.Address)
	if err != nil {
		return nil, &NotSentError{r.Address, err}
	}
	a := &Answer{pool: p, conn: c}
	a.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	sent, err := a.write(r)
	if err != nil {
		a.discard()
		if !sent {
			return nil, &NotSentError{r.Address, err}
		}
		return nil, p.lost(ctx, c, err)
	}
	if err := a.readHead(r); err != nil {
		a.discard()
		return nil, p.lost(ctx, c, err)
	}
	return a, nil
}

func (p *Pool) lost(ctx context.Context, c *conn, err error) error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return &LostError{Address: c.address, Reused: c.used, Cause: err}
}

// write sends the request and reports whether any byte may have been sent.
func (a *Answer) write(r *Request) (sent bool, err error) {
	head := appendHead(make([]byte, 0, 1024+min(len(r.Body), inlineBodyBytes)), r)
	if len(r.Body) <= inlineBodyBytes {
		n, err := a.conn.Write(append(head, r.Body...))
		return n > 0, err
	}
	if n, err := a.conn.Write(head); err != nil {
		return n > 0, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := a.conn.Write(r.Body)
		done <- err
	}()
	a.written = done
	return true, nil
}

func appendHead(b []byte, r *Request) []byte {
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
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readHead reads the head of the answer. Interim answers and whole answers to
// other requests are passed over; after the latter the connection is not kept.
func (a *Answer) readHead(r *Request) error {
	for range maxForeignAnswers + 1 {
		resp, err := readResponse(a.conn, r.Method)
		if err != nil {
			return err
		}
		if r.Belongs == nil || r.Belongs(resp.Header) {
			a.begin(resp)
			return nil
		}
		a.foreign = true
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return ErrForeignAnswer
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return ErrForeignAnswer
}

func readResponse(c *conn, method string) (*http.Response, error) {
	c.head.begin()
	defer c.head.end()
	request := &http.Request{Method: method}
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil && c.head.left == 0 {
			// A head that is cut at the bound may fail as malformed.
			return nil, ErrLargeHead
		}
		if err != nil {
			return nil, err
		}
		interim := resp.StatusCode >= 100 && resp.StatusCode < 200
		if !interim {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("protocol switch was not asked for")
		}
	}
}

func (a *Answer) begin(resp *http.Response) {
	a.Status, a.Header, a.ContentLength = resp.StatusCode, resp.Header, resp.ContentLength
	a.Delimited = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.Body = &bodyReader{answer: a, body: resp.Body}
	if a.Delimited && !resp.Close && !a.foreign {
		a.keep = a.pool.keepFor(resp.Header)
	}
}

// keepFor returns how long the connection may stay idle.
func (p *Pool) keepFor(h http.Header) time.Duration {
	value := h.Get("Keep-Alive")
	if value == "" {
		return p.options.IdleTimeout
	}
	for _, field := range strings.Split(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil {
			return 0
		}
		return time.Duration(seconds)*time.Second - p.options.IdleMargin
	}
	return p.options.IdleTimeout
}

// bodyReader notes whether the body was read to its end.
type bodyReader struct {
	answer *Answer
	body   io.ReadCloser
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.answer.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the request was
// written and the answer read to the end, and nothing follows the answer.
func (a *Answer) Close() {
	if !a.stop() || !a.complete || a.keep <= 0 || !a.bodyWritten() || a.conn.reader.Buffered() > 0 {
		a.discard()
		return
	}
	a.conn.used = true
	a.pool.put(a.conn, a.keep)
}

// bodyWritten reports whether the whole request has been written.
func (a *Answer) bodyWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// discard closes the connection.
func (a *Answer) discard() {
	a.stop()
	a.conn.close()
}
