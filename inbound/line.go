package inbound

import "bytes"

const (
	// lineStartBytes has room for the name and the value of a field that frames a request.
	lineStartBytes = 64
	// lineEndBytes has room for the protocol version of a request line and the line end.
	lineEndBytes = len("HTTP/1.1\r\n")
)

// line keeps the start and the end of a line, so that its memory doesn't depend on its length.
type line struct {
	start  [lineStartBytes]byte
	end    [lineEndBytes]byte
	length int
}

// add appends a part of the line. The last part ends in a line feed.
func (l *line) add(p []byte) {
	if l.length < lineStartBytes {
		copy(l.start[l.length:], p)
	}
	l.length += len(p)
	tail := p[max(0, len(p)-lineEndBytes):]
	copy(l.end[:], l.end[len(tail):])
	copy(l.end[lineEndBytes-len(tail):], tail)
}

// isWhole reports whether text returns all of the line.
func (l *line) isWhole() bool { return l.length <= lineStartBytes }

// text returns the start of the line, without the line end.
func (l *line) text() []byte {
	if !l.isWhole() {
		return l.start[:]
	}
	return trimLineEnd(l.start[:l.length])
}

// endsWith reports whether the line ends with s, which has at most the length of a protocol version.
func (l *line) endsWith(s string) bool { return bytes.HasSuffix(trimLineEnd(l.end[:]), []byte(s)) }

// endsWithCRLF reports whether the line ends with a carriage return and a line feed.
func (l *line) endsWithCRLF() bool { return bytes.HasSuffix(l.end[:], []byte("\r\n")) }

// isCRLF reports whether the line consists of a carriage return and a line feed.
func (l *line) isCRLF() bool { return l.length == len("\r\n") && l.endsWithCRLF() }

// isBlank reports whether the line has no other bytes than line ends.
func (l *line) isBlank() bool { return len(bytes.Trim(l.text(), "\r")) == 0 }

// trimLineEnd removes one line end of either form.
func trimLineEnd(b []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(b, []byte("\n")), []byte("\r"))
}
