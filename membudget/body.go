package membudget

import (
	"io"
	"time"
)

// Body is the body of a request, in parts that are allocated as it arrives. It holds its memory until
// each of its users has called Release.
type Body struct {
	connection *Connection
	// parts are read only after the body has arrived.
	parts [][]byte
	size  int

	// The following fields are guarded by account.mu. reserved is the memory of the parts, large what
	// is beyond UnsharedBytes.
	reserved, large int64
	finished        bool
	users           int
}

const (
	// firstPartBytes and maxPartBytes are the sizes of the first part of a body and of the largest one.
	firstPartBytes = 4 << 10
	maxPartBytes   = 64 << 10
)

// ReadBody reads a body to its end. announced is its length, negative if that is not known. It returns
// ErrExhausted or ErrClosed if there is no room for the body, which must be released in any case.
func (c *Connection) ReadBody(r io.Reader, announced int64) (*Body, error) {
	b := &Body{connection: c, users: 1}
	if c != nil {
		c.account.mu.Lock()
		c.body = b
		c.account.mu.Unlock()
	}
	partBytes := firstPartBytes
	for {
		size := partBytes
		if announced >= 0 {
			size = int(min(int64(size), announced-int64(b.size)))
		}
		if size == 0 {
			// The reader returns an error if the body is not as long as announced.
			return b, readEnd(r)
		}
		if err := b.reserve(int64(size)); err != nil {
			return b, err
		}
		if c != nil {
			c.account.garbage.collect()
		}
		part := make([]byte, size)
		n, err := b.readPart(r, part)
		if n > 0 {
			b.parts = append(b.parts, part[:n])
		}
		if err == io.EOF {
			if announced >= 0 && int64(b.size) < announced {
				return b, io.ErrUnexpectedEOF
			}
			return b, nil
		}
		if err != nil {
			return b, err
		}
		partBytes = min(2*partBytes, maxPartBytes)
	}
}

// readEnd reads the end of a body that has arrived completely.
func readEnd(r io.Reader) error {
	var next [1]byte
	for {
		n, err := r.Read(next[:])
		switch {
		case err == io.EOF && n == 0:
			return nil
		case err != nil:
			return err
		case n > 0:
			return io.ErrShortBuffer
		}
	}
}

// readPart fills a part of the body. It returns io.EOF at the end of the body.
func (b *Body) readPart(r io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var k int
		k, err = r.Read(part[n:])
		n += k
		b.size += k
		if k > 0 {
			b.addProgress(k)
		}
	}
	return n, err
}

// addProgress counts bytes that have arrived.
func (b *Body) addProgress(n int) {
	if b.connection == nil {
		return
	}
	a := b.connection.account
	a.mu.Lock()
	b.connection.progress.add(time.Now(), int64(n))
	a.mu.Unlock()
}

// reserve reserves the memory of another part.
func (b *Body) reserve(n int64) error {
	c := b.connection
	if c == nil {
		return nil
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.reserved+n > a.oneBodyLimit {
		a.onClose(RefusedRequest)
		return ErrExhausted
	}
	large := b.reserved+n > UnsharedBytes
	if err := a.makeRoom(c, n, large); err != nil {
		if err == ErrExhausted {
			a.onClose(RefusedRequest)
		}
		return err
	}
	a.used += n
	b.reserved += n
	if large {
		a.bodies += n
		a.unfinished += n
		b.large += n
	}
	return nil
}

// finish takes the body out of those that have not arrived completely. account.mu must be held.
func (b *Body) finish() {
	if !b.finished {
		b.finished = true
		b.connection.account.unfinished -= b.large
	}
}

// Parts returns the parts of the body. They may be used until Release.
func (b *Body) Parts() [][]byte { return b.parts }

// Size returns the length of the body in bytes.
func (b *Body) Size() int { return b.size }

// Retain adds a user of the body.
func (b *Body) Retain() {
	if b.connection == nil {
		return
	}
	b.connection.account.mu.Lock()
	b.users++
	b.connection.account.mu.Unlock()
}

// Release removes a user of the body, which must not use the parts any more. The last one gives the
// memory back.
func (b *Body) Release() {
	if b.connection == nil {
		return
	}
	a := b.connection.account
	a.mu.Lock()
	defer a.mu.Unlock()
	b.users--
	if b.users > 0 {
		return
	}
	b.finish()
	// The account of the connection refers to the body until the end of the request.
	b.parts = nil
	a.used -= b.reserved
	a.bodies -= b.large
	a.garbage.add(b.large)
	b.reserved, b.large = 0, 0
}
