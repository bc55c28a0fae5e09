package membudget

import (
	"bytes"
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

	upload Upload
	// waited is the time that the body has waited for memory and that OnWait has not been told.
	waited time.Duration

	// The following fields are guarded by account.mu. reserved is the memory of the parts, large what
	// is beyond UnsharedBytes.
	reserved, large int64
	// arrived is size, for other requests.
	arrived  int64
	finished bool
	users    int
	// waiting is set while the body waits for memory and is not read. readingSince is when it was
	// last read on.
	waiting      bool
	readingSince time.Time
}

const (
	// firstPartBytes and maxPartBytes are the sizes of the first part of a body and of the largest one.
	firstPartBytes = 4 << 10
	maxPartBytes   = 64 << 10
)

// ReadBody reads a body to its end. It returns ErrExhausted or ErrClosed if there is no room for the
// body, which must be released in any case.
func (c *Connection) ReadBody(r io.Reader, u Upload) (*Body, error) {
	announced := u.Announced
	b, err := c.beginBody(u)
	if err != nil {
		return b, err
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
		if err := b.reportWait(); err != nil {
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

// beginBody begins the body of a request. It returns ErrExhausted if it can't fit.
func (c *Connection) beginBody(u Upload) (*Body, error) {
	b := &Body{connection: c, upload: u, users: 1, readingSince: time.Now()}
	if c == nil {
		return b, nil
	}
	if u.Announced > 0 && u.Announced*b.memoryFactor() > c.account.oneBodyLimit {
		c.account.onClose(RefusedRequest)
		return b, ErrExhausted
	}
	c.account.mu.Lock()
	c.body = b
	c.account.mu.Unlock()
	return b, nil
}

// memoryFactor returns the memory for a byte of the body.
func (b *Body) memoryFactor() int64 { return int64(max(1, b.upload.MemoryFactor)) }

// Reader reads a body for a handler that keeps it in buffers of its own, and reserves memory for what it
// has read. Its Read returns ErrExhausted or ErrClosed if there is no room.
type Reader struct {
	r    io.Reader
	body *Body
	err  error
}

// NewReader returns a reader of the body. The memory is given back by Release.
func (c *Connection) NewReader(r io.Reader, u Upload) *Reader {
	b, err := c.beginBody(u)
	return &Reader{r: r, body: b, err: err}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.r.Read(p)
	if n > 0 {
		r.body.size += n
		r.body.addProgress(n)
		if r.err = r.body.reserve(r.body.memoryFactor() * int64(n)); r.err == nil {
			r.err = r.body.reportWait()
		}
		if r.err != nil {
			return 0, r.err
		}
	}
	if err == io.EOF {
		if arrived := r.body.connection.Arrived(); arrived != nil {
			r.err = arrived
			return 0, r.err
		}
	}
	return n, err
}

// Release gives the memory of the body back.
func (r *Reader) Release() { r.body.Release() }

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
	b.arrived += int64(n)
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
	var err error
	if large {
		err = a.makeRoomForUpload(c, n)
	} else {
		err = a.makeRoom(c, n, false)
	}
	if err != nil {
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
		a.uploads[c] = struct{}{}
	}
	return nil
}

// finish takes the body out of those that have not arrived completely. account.mu must be held.
func (b *Body) finish() {
	if !b.finished {
		b.finished = true
		b.connection.account.unfinished -= b.large
		delete(b.connection.account.uploads, b.connection)
		b.connection.account.signalRoom()
	}
}

// Parts returns the parts of the body. They may be used until Release.
func (b *Body) Parts() [][]byte { return b.parts }

// Join returns the body in one piece and drops its parts. The caller must have reserved the memory for
// the copy; the memory of the body is that of the result until Release.
func (b *Body) Join() []byte {
	joined := bytes.Join(b.parts, nil)
	b.parts = nil
	if b.connection != nil {
		b.connection.account.garbage.add(int64(b.size))
	}
	return joined
}

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
	a.signalRoom()
}
