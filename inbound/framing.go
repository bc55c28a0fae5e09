package inbound

import (
	"bytes"
	"errors"
	"strconv"
	"sync"
)

// Causes of refusals of a request whose end can't be told for certain.
var (
	errConflictingLength = errors.New("both a length and a transfer encoding")
	errEncodingVersion   = errors.New("a transfer encoding in another version than HTTP/1.1")
	errMalformedLength   = errors.New("malformed content length")
	errFoldedFraming     = errors.New("a folded content length or transfer encoding")
	errMalformedChunk    = errors.New("malformed chunk in the request before")
	errMalformedTrailer  = errors.New("malformed trailer in the request before")
	errUnknownRequest    = errors.New("the end of the request before is not known")
)

// framing follows the bytes of a connection of HTTP/1.1 and finds where each request begins and ends.
// net/http drops a Content-Length beside a Transfer-Encoding before a handler sees the header, so a handler
// can't tell that a sender may have meant another end of the request, and that what follows may be a part of
// its body. Where net/http accepts more than one reading of a message, framing accepts the strict one.
// Nothing is served from the first request on whose framing is not sound.
type framing struct {
	// mu is needed because net/http reads ahead while a handler runs.
	mu sync.Mutex
	// sound is the number of requests with a sound header, served that of requests for which admit was
	// called.
	sound, served uint64
	// err is why the request after the sound ones is not served. Nothing is followed behind it.
	err error

	part   messagePart
	line   line
	header framingHeader
	// unread is the number of bytes of the body or of the chunk that have not been read yet.
	unread uint64
}

// messagePart is the part of a message to which the next line belongs.
type messagePart int

const (
	partRequestLine messagePart = iota
	partHeader
	partChunkSize
	partChunkEnd
	partTrailer
)

// framingHeader is what the header of a request states about the end of its body.
type framingHeader struct {
	http11, chunked, hasLength bool
	length                     uint64
	// unfinished is set while a folded line would continue one of these fields.
	unfinished bool
}

// read follows bytes that net/http reads.
func (f *framing) read(p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(p) > 0 && f.err == nil {
		if f.unread > 0 {
			n := min(uint64(len(p)), f.unread)
			f.unread -= n
			p = p[n:]
			continue
		}
		end := bytes.IndexByte(p, '\n') + 1
		if end == 0 {
			f.line.add(p)
			return
		}
		f.line.add(p[:end])
		p = p[end:]
		f.err = f.endLine()
		f.line = line{}
	}
}

// admit returns why the next request must not be served, or nil. It must be called once for each request,
// in their order.
func (f *framing) admit() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served++
	switch {
	case f.served <= f.sound:
		return nil
	case f.err != nil:
		return f.err
	default:
		return errUnknownRequest
	}
}

// endLine applies a complete line.
func (f *framing) endLine() error {
	switch f.part {
	case partRequestLine:
		f.requestLine()
		return nil
	case partHeader:
		return f.headerLine()
	case partChunkSize:
		return f.chunkSize()
	case partChunkEnd:
		if !f.line.isCRLF() {
			return errMalformedChunk
		}
		f.part = partChunkSize
		return nil
	default:
		return f.trailerLine()
	}
}

// requestLine begins a request. net/http skips empty lines before it, or refuses the request.
func (f *framing) requestLine() {
	if f.line.isBlank() {
		return
	}
	f.header = framingHeader{http11: f.line.endsWith("HTTP/1.1")}
	f.part = partHeader
}

// headerLine applies a line of the header.
func (f *framing) headerLine() error {
	text := f.line.text()
	if len(text) == 0 {
		return f.endHeader()
	}
	if text[0] == ' ' || text[0] == '\t' {
		if f.header.unfinished {
			return errFoldedFraming
		}
		return nil
	}
	name, value, _ := bytes.Cut(text, []byte(":"))
	name = bytes.TrimSpace(name)
	f.header.unfinished = false
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// net/http refuses all encodings but chunked.
		f.header.chunked, f.header.unfinished = true, true
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.header.unfinished = true
		return f.contentLength(value)
	}
	return nil
}

// contentLength applies a Content-Length. Equal repeats are allowed, as in net/http.
func (f *framing) contentLength(value []byte) error {
	const bits = 63 // as in net/http
	n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, bits)
	if err != nil || !f.line.isWhole() || (f.header.hasLength && n != f.header.length) {
		return errMalformedLength
	}
	f.header.hasLength, f.header.length = true, n
	return nil
}

// endHeader decides whether the framing of the request is sound.
func (f *framing) endHeader() error {
	switch h := f.header; {
	case h.chunked && h.hasLength:
		return errConflictingLength
	case h.chunked && !h.http11:
		// net/http ignores the encoding.
		return errEncodingVersion
	case h.chunked:
		f.part = partChunkSize
	default:
		f.part, f.unread = partRequestLine, h.length
	}
	f.sound++
	return nil
}

// chunkSize applies the line ahead of a chunk.
func (f *framing) chunkSize() error {
	const bits = 64 // as in net/http
	size, _, extended := bytes.Cut(f.line.text(), []byte(";"))
	if !extended {
		size = bytes.TrimRight(size, " \t")
	}
	n, err := strconv.ParseUint(string(size), 16, bits)
	if err != nil || !f.line.endsWithCRLF() || !(extended || f.line.isWhole()) {
		return errMalformedChunk
	}
	f.part, f.unread = partChunkEnd, n
	if n == 0 {
		f.part = partTrailer
	}
	return nil
}

// trailerLine applies a line behind the last chunk. The empty one ends the request.
func (f *framing) trailerLine() error {
	if !f.line.endsWithCRLF() {
		return errMalformedTrailer
	}
	if f.line.isCRLF() {
		f.part = partRequestLine
	}
	return nil
}
