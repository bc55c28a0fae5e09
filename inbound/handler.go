package inbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figweir/figweir/membudget"
)

// RetryNoRoom is the Retry-After of a process without memory for a request: about the time that an
// unfinished request keeps its memory when others need it.
const RetryNoRoom = time.Second

// Options configures NewHandler.
type Options struct {
	// BodyTimeout limits the time until the body of a request has arrived, WriteTimeout that of each
	// write of the answer.
	BodyTimeout, WriteTimeout time.Duration
	// MaxMessageBytes is the size to which the handler decompresses a body; 0 if it refuses compressed
	// bodies or their size is negligible.
	MaxMessageBytes int64
}

// NewHandler returns a handler that reserves the memory of each request while next handles it, and
// refuses with status 503 those for which there is no room. Nothing of them has been handled. An answer
// that the client doesn't read is cut if there is no room for it.
func NewHandler(next http.Handler, o Options) http.Handler { return &handler{next, o} }

type handler struct {
	next    http.Handler
	options Options
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	account, end, err := begin(w, r)
	defer end()
	w, endWrites := LimitWrites(w, h.options.WriteTimeout)
	defer endWrites()
	control := http.NewResponseController(w)
	deadline := time.Now().Add(h.options.BodyTimeout)
	_ = control.SetReadDeadline(deadline)
	if err == nil {
		err = h.reserve(account, r)
	}
	if err != nil {
		refuse(w, r)
		return
	}
	w = &countedWriter{w, account}
	if r.ContentLength == 0 {
		// The deadline is removed, because its expiry would cancel the request's context.
		_ = control.SetReadDeadline(time.Time{})
		h.next.ServeHTTP(w, r)
		return
	}
	body := &requestBody{
		Closer: r.Body, control: control, header: w.Header(),
		reader: account.NewReader(r.Body, membudget.Upload{
			Announced: r.ContentLength, Timeout: h.options.BodyTimeout, MemoryFactor: BodyCopies,
			OnWait: func(waited time.Duration) {
				deadline = deadline.Add(waited)
				_ = control.SetReadDeadline(deadline)
			},
		}),
	}
	defer body.reader.Release()
	r.Body = body
	if r.ProtoMajor == 1 {
		// Otherwise net/http would read the rest of a body that the handler doesn't read.
		w.Header().Set("Connection", "close")
	}
	h.next.ServeHTTP(w, r)
}

// reserve reserves the memory of a request besides its body.
func (h *handler) reserve(account *membudget.Connection, r *http.Request) error {
	if err := account.BeginRequest(""); err != nil {
		return err
	}
	if r.ContentLength == 0 {
		return account.Arrived()
	}
	if h.options.MaxMessageBytes == 0 || !isCompressed(r.Header) {
		return nil
	}
	// What a compressed body becomes is known only once it has been decompressed.
	return account.AddWork(min(BodyCopies*h.options.MaxMessageBytes, account.MaxWorkBytes()))
}

// encodingHeaders are the headers in which the protocols of connect-go name the compression of a body.
var encodingHeaders = []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"}

// isCompressed reports whether the body of a request may be compressed.
func isCompressed(header http.Header) bool {
	for _, name := range encodingHeaders {
		if v := header.Get(name); v != "" && v != "identity" {
			return true
		}
	}
	return false
}

// IsNoRoom reports whether a body could not be read for lack of memory. Nothing of its request has been
// handled.
func IsNoRoom(err error) bool {
	return errors.Is(err, membudget.ErrExhausted) || errors.Is(err, membudget.ErrClosed)
}

// refuse refuses a request for which there is no room.
func refuse(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(RetryNoRoom.Seconds())))
	http.Error(w, "too little memory for requests", http.StatusServiceUnavailable)
}

// requestBody reserves memory for what is read of a body.
type requestBody struct {
	io.Closer
	reader  *membudget.Reader
	control *http.ResponseController
	// header is the header of the response.
	header http.Header
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.header.Del("Connection")
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// AccountOf returns the account of the connection of a request of HTTP/1.1; nil if it has none.
func AccountOf(ctx context.Context) *membudget.Connection {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn.Account()
}

// begin returns the account of a request, nil if its listener has none. end must be called when the
// request has been handled, also after an error, which means that there is no room for its header.
func begin(w http.ResponseWriter, r *http.Request) (account *membudget.Connection, end func(), err error) {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	if conn == nil {
		return nil, func() {}, nil
	}
	if !conn.protocol.isHTTP2() {
		return conn.account, conn.account.EndRequest, nil
	}
	reads := &streamReads{control: http.NewResponseController(w)}
	stream := conn.account.OpenStream(reads.interrupt)
	bytes, lines := headerSize(r)
	err = stream.AddHeader(bytes, lines)
	return stream, func() {
		reads.end()
		stream.EndRequest()
		stream.Close()
	}, err
}

// streamReads ends the reads of a stream of HTTP/2 as long as its request is handled.
type streamReads struct {
	mu      sync.Mutex
	control *http.ResponseController
	ended   bool
}

// interrupt ends the reads. The request can still be answered.
func (s *streamReads) interrupt(bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		_ = s.control.SetReadDeadline(longPast)
	}
}

// end states that the request has been handled.
func (s *streamReads) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
}

// headerSize returns the size of the header of a request in bytes and lines.
func headerSize(r *http.Request) (bytes, lines int) {
	bytes = len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			bytes += len(name) + len(v)
			lines++
		}
	}
	return bytes, lines
}
