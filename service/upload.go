package service

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// uploadEndWait is how long the end of a response waits for the goroutine that writes the call, which may
// not have run since the service read the last byte.
const uploadEndWait = 100 * time.Millisecond

// upload follows the writing of a call, which goes on while its response is read.
type upload struct {
	once sync.Once
	// written is closed when the call has been written completely.
	written chan struct{}
}

func newUpload() *upload { return &upload{written: make(chan struct{})} }

// trace returns a context for the call that reports the end of its writing to u.
func (u *upload) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			u.once.Do(func() { close(u.written) })
		}
	}})
}

// succeeded reports whether the call has been written completely. It waits for that up to uploadEndWait.
func (u *upload) succeeded() bool {
	select {
	case <-u.written:
		return true
	case <-time.After(uploadEndWait):
		return false
	}
}
