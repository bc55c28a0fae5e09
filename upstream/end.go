package upstream

import (
	"errors"
	"time"

	"github.com/figweir/figweir/tcpstate"
)

// Errors of responses that end with their connection and are not known to be complete.
var (
	errUploadUnfinished = errors.New("the response ended before the request was written completely")
	errConnectionReset  = errors.New("the connection was reset after the end of the response")
	errEndReadLate      = errors.New("the end of the response was read too late to tell it from a crash of the server")
)

const (
	// uploadEndWait is how long the end of a response waits for the goroutine that writes the request,
	// which may not have run since the server read the last byte.
	uploadEndWait = 100 * time.Millisecond
	// maxEndAge is how long the end of a response may have lain unread. A server needs longer to start
	// again after a crash, so that one that accepts connections has not crashed.
	maxEndAge = 500 * time.Millisecond
	// minReadWait is the shortest wait of a read that shows that the end came during it.
	minReadWait = time.Millisecond
)

// Pauses reports pauses of the process.
type Pauses interface {
	// PausedSince reports whether the process did not run for maxEndAge or longer at some time since t.
	PausedSince(t time.Time) bool
}

// checkEnd returns nil if a response that ended with its connection is known to be complete, as far as
// its connection tells: the request was written and acknowledged, there was no reset, and the end was
// read soon after it came. readSince is when the read began that returned the end.
func (resp *Response) checkEnd(readSince time.Time) error {
	if resp.bodyWrite != nil {
		select {
		case <-resp.bodyWrite.done:
		case <-time.After(uploadEndWait):
		}
	}
	if !resp.bodyWrite.succeeded() || resp.conn.unacknowledged() > 0 {
		return errUploadUnfinished
	}
	if wasReset, err := tcpstate.WasReset(resp.conn.Conn); err == nil && wasReset {
		return errConnectionReset
	}
	if resp.endReadLate(readSince, time.Now()) {
		return errEndReadLate
	}
	return nil
}

// endReadLate reports whether the end of the response may have lain unread for longer than maxEndAge.
// It came after the last data. If the read waited, it came during the read, unless the process did not
// run meanwhile.
func (resp *Response) endReadLate(readSince, now time.Time) bool {
	age, err := tcpstate.SinceLastData(resp.conn.Conn)
	if err != nil || age <= maxEndAge {
		return false
	}
	lastData := now.Add(-age)
	waited := now.Sub(readSince) >= minReadWait
	if waited && (resp.pool.pauses == nil || !resp.pool.pauses.PausedSince(lastData)) {
		return false
	}
	return !resp.pool.hasOpenSince(resp.conn.address, lastData)
}

// hasOpenSince reports whether an idle connection to an address was established before t and is still
// open. It shows that the server has not crashed since t: a crash ends all its connections.
func (p *Pool) hasOpenSince(address string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		if c.establishedAt.Before(t) && c.isReusable() {
			return true
		}
	}
	return false
}
