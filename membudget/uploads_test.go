package membudget

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// smallVMAccount is the account of a VM of 144 MB.
	smallVMAccount = 144 << 20 / 4
	// uploadBytes is the size of the largest body that callers may send.
	uploadBytes = 4 << 20
	// uploadTimeout is the time in which a body must arrive.
	uploadTimeout = 3 * time.Second
	// answerTime is how long a request takes once its body has arrived.
	answerTime = 100 * time.Millisecond
)

// upload sends a body at an even pace over the given time on a connection of its own, and returns the
// error of reading it.
func upload(a *Inbound, workspace string, bytes int, over time.Duration, announced int64) error {
	c := open(a)
	defer c.Close()
	deadline := time.Now().Add(uploadTimeout)
	timer := time.AfterFunc(time.Until(deadline), func() { _ = c.r.CloseWithError(errTimedOut) })
	defer timer.Stop()
	go func() {
		const pieces = 64
		for range pieces {
			time.Sleep(over / pieces)
			if _, err := c.w.Write(make([]byte, bytes/pieces)); err != nil {
				return
			}
		}
		_ = c.w.Close()
	}()
	defer c.r.Close()
	defer c.EndRequest()
	if err := c.AddHeader(400, 12); err != nil {
		return err
	}
	if err := c.BeginRequest(workspace); err != nil {
		return err
	}
	body, err := c.ReadBody(c.r, Upload{Announced: announced, Timeout: uploadTimeout, OnWait: func(waited time.Duration) {
		deadline = deadline.Add(waited)
		timer.Reset(time.Until(deadline))
	}})
	defer body.Release()
	if err == nil {
		err = c.Arrived()
	}
	if err == nil {
		time.Sleep(answerTime)
	}
	return err
}

// errTimedOut is the error of a body that did not arrive in time.
var errTimedOut = io.ErrNoProgress

// TestSoundUploadsAreServed guards against the refusal of callers who send the largest body in time
// because others do so too: on a VM of 144 MB a third of six uploads of 4 MB at a time got 503. All
// uploads of each case must be read; they come in three rounds, one behind the other.
func TestSoundUploadsAreServed(t *testing.T) {
	for name, c := range map[string]struct {
		uploads   int
		over      time.Duration
		announced int64
	}{
		"six at a time":            {6, 2 * time.Second, uploadBytes},
		"six at a time in chunks":  {6, 2 * time.Second, -1},
		"slower than the deadline": {6, 2900 * time.Millisecond, uploadBytes},
		"more than there is room":  {11, 2 * time.Second, uploadBytes},
		"many fast ones":           {60, 200 * time.Millisecond, uploadBytes},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := NewInbound(smallVMAccount, 1000, func(what string) { t.Log(what) })
				for range 3 {
					results := make(chan error, c.uploads)
					for i := range c.uploads {
						time.Sleep(time.Duration(i) * time.Millisecond)
						go func() { results <- upload(a, "a", uploadBytes, c.over, c.announced) }()
					}
					for range c.uploads {
						is.NoErr(<-results)
					}
				}
				synctest.Wait()
				is.Equal(a.Stats().UsedBytes, int64(0))
				is.True(a.Stats().BodyBytes == 0 && a.Stats().UnfinishedBytes == 0)
			})
		})
	}
}

// stall sends all but the last byte of the largest body at once, and keeps the connection open until its
// timeout.
func stall(a *Inbound, workspace string) {
	c := open(a)
	if c.Connection == nil {
		return
	}
	defer c.Close()
	timer := time.AfterFunc(uploadTimeout, func() { _ = c.r.CloseWithError(errTimedOut) })
	defer timer.Stop()
	go func() { _, _ = c.w.Write(make([]byte, uploadBytes-1)) }()
	defer c.r.Close()
	defer c.EndRequest()
	if c.BeginRequest(workspace) != nil {
		return
	}
	body, _ := c.ReadBody(c.r, Upload{Announced: uploadBytes, Timeout: uploadTimeout, OnWait: func(waited time.Duration) {
		timer.Reset(uploadTimeout + waited)
	}})
	body.Release()
}

// TestUploadsAmongStalledOnes guards against bodies that stop before their end and keep the room from
// one that arrives in time: a crowd of them in a workspace of its own begins before each upload.
func TestUploadsAmongStalledOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := NewInbound(smallVMAccount, 1000, func(string) {})
		var all sync.WaitGroup
		for range 5 {
			for range 100 {
				all.Go(func() { stall(a, "crowd") })
			}
			synctest.Wait()
			time.Sleep(time.Millisecond)
			is.NoErr(upload(a, "sound", uploadBytes, 2*time.Second, uploadBytes))
			is.True(a.Stats().UsedBytes <= smallVMAccount)
		}
		all.Wait()
		is.Equal(a.Stats().UsedBytes, int64(0))
	})
}

// TestIdleConnectionsGiveWay guards against a slow request that is closed for a new connection although
// there are idle ones, whose callers lose nothing.
func TestIdleConnectionsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var closed []string
		a := NewInbound(testMemory, 10, func(what string) { closed = append(closed, what) })
		slow := open(a)
		is.NoErr(slow.AddHeader(10, 1))
		time.Sleep(time.Minute)
		for range 9 {
			is.True(open(a).Connection != nil)
		}
		time.Sleep(time.Minute)
		is.True(open(a).Connection != nil)
		is.NoErr(slow.AddHeader(10, 1))
		is.Equal(closed, []string{ClosedIdle})
	})
}
