package membudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestVictimOrder guards against a closed request that makes progress while another one stalls, against
// the youngest being closed before the oldest, and against a crowd in one workspace that displaces the
// requests of another.
func TestVictimOrder(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	for name, c := range map[string]struct {
		candidates []Candidate
		want       int
	}{
		"none":           {nil, -1},
		"nothing held":   {[]Candidate{{"a", 0, 0, at(1)}}, -1},
		"least progress": {[]Candidate{{"a", 10, 5, at(1)}, {"a", 10, 4, at(3)}, {"a", 10, 6, at(2)}}, 1},
		"oldest":         {[]Candidate{{"a", 10, 0, at(3)}, {"a", 10, 0, at(1)}, {"a", 10, 0, at(2)}}, 1},
		"workspace above its share": {[]Candidate{
			{"small", 10, 0, at(1)}, {"crowd", 10, 9, at(2)}, {"crowd", 10, 8, at(3)}, {"crowd", 10, 9, at(1)},
		}, 2},
		"even workspaces": {[]Candidate{{"a", 10, 3, at(1)}, {"b", 10, 2, at(2)}}, 1},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(ChooseVictim(c.candidates), c.want) })
	}
}

// caller is a connection of a test. Its body is what has been written to it; reads wait for more.
type caller struct {
	*Connection
	r *io.PipeReader
	w *io.PipeWriter
}

func open(a *Inbound) *caller {
	r, w := io.Pipe()
	c := &caller{r: r, w: w}
	c.Connection = a.Open("callers", ConnectionBytes, func(bool) { _ = r.CloseWithError(errInterrupted) })
	return c
}

var errInterrupted = errors.New("interrupted")

// request reads a request with a body and ends it when hold is closed.
func (c *caller) request(workspace string, announced int64, hold <-chan struct{}) error {
	defer c.EndRequest()
	if err := c.BeginRequest(workspace); err != nil {
		return err
	}
	body, err := c.ReadBody(c.r, Upload{Announced: announced})
	defer body.Release()
	if err != nil {
		return err
	}
	if err := c.Arrived(); err != nil {
		return err
	}
	<-hold
	return nil
}

const testMemory = 24 << 20

// TestStalledBodiesGiveWay guards against a crowd of bodies that stop before their end and take the
// room of those that arrive: ten stalled ones, then one that is sent whole, which must be read.
func TestStalledBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var closed atomic.Int64
		a := NewInbound(testMemory, 100, func(what string) {
			if what == ClosedBody {
				closed.Add(1)
			}
		})
		const size = 4 << 20
		end := make(chan struct{})
		var requests sync.WaitGroup
		failures := make(chan error, 10)
		for range 10 {
			c := open(a)
			requests.Go(func() { failures <- c.request("crowd", size, end) })
			requests.Go(func() { _, _ = c.w.Write(make([]byte, size-1)) })
			time.Sleep(3 * time.Second)
		}
		is.Equal(closed.Load(), int64(6)) // four of four MiB are the three quarters for bodies
		whole := open(a)
		requests.Go(func() { _, _ = whole.w.Write(make([]byte, size)); _ = whole.w.Close() })
		done := make(chan error, 1)
		requests.Go(func() { done <- whole.request("other", size, end) })
		synctest.Wait()
		close(end)
		is.NoErr(<-done)
		for range 7 { // the whole one takes the room of another
			is.True(<-failures != nil)
		}
		for c := range a.open {
			c.close(true)
		}
		requests.Wait()
		for c := range a.open {
			c.Close()
		}
		is.Equal(a.Stats().UsedBytes, int64(0))
		is.Equal(a.Stats().BodyBytes, int64(0))
		is.Equal(a.Stats().UnfinishedBytes, int64(0))
	})
}

// TestFinishedBodiesAreNeverClosed guards against a request that has arrived completely and is closed
// for one that has not, and against closing others where that makes no room.
func TestFinishedBodiesAreNeverClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { finishBodies(t) })
}

func finishBodies(t *testing.T) {
	is := is.New(t)
	a := NewInbound(testMemory, 100, func(string) {})
	finished := 0
	for range 10 {
		c := open(a)
		is.NoErr(c.BeginRequest("a"))
		if _, err := c.ReadBody(bytes.NewReader(make([]byte, 4<<20)), Upload{Announced: 4 << 20}); err != nil {
			is.Equal(err, ErrExhausted)
			continue
		}
		is.NoErr(c.Arrived())
		finished++
	}
	is.Equal(finished, 4) // 18 of 24 MB are for bodies
	is.Equal(a.Stats().UnfinishedBytes > 0, true)
	// Short requests are still read.
	c := open(a)
	is.NoErr(c.BeginRequest("a"))
	_, err := c.ReadBody(strings.NewReader("short"), Upload{Announced: -1})
	is.NoErr(err)
}

// TestLargestBodyOnSmallestVM guards against a limit that a single request of the largest size meets on
// a VM of 144 MB.
func TestLargestBodyOnSmallestVM(t *testing.T) {
	for _, announced := range []int64{4 << 20, -1} {
		is := is.New(t)
		a := NewInbound(144<<20/4, 1000, func(what string) { t.Error(what) })
		c := open(a)
		is.NoErr(c.AddHeader(16384, 400))
		is.NoErr(c.BeginRequest("a"))
		body, err := c.ReadBody(bytes.NewReader(make([]byte, 4<<20)), Upload{Announced: announced})
		is.NoErr(err)
		is.NoErr(c.Arrived())
		is.Equal(body.Size(), 4<<20)
		total := 0
		for _, part := range body.Parts() {
			total += len(part)
		}
		is.Equal(total, 4<<20)
	}
}

// TestBodyIsHeldUntilLastUserReleasesIt guards against memory that counts as free while a body is still
// written to a backend server.
func TestBodyIsHeldUntilLastUserReleasesIt(t *testing.T) {
	is := is.New(t)
	a := NewInbound(testMemory, 100, func(string) {})
	c := open(a)
	is.NoErr(c.BeginRequest("a"))
	body, err := c.ReadBody(bytes.NewReader(make([]byte, 1<<20)), Upload{Announced: 1 << 20})
	is.NoErr(err)
	is.NoErr(c.Arrived())
	body.Retain()
	body.Release()
	c.EndRequest()
	c.Close()
	is.Equal(a.Stats().UsedBytes, int64(1<<20))
	body.Release()
	is.Equal(a.Stats().UsedBytes, int64(0))
}

// TestConnectionsAreBounded guards against connections beyond the limit, and against a crowd of idle
// ones that keeps others out.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	var closed, refused int
	a := NewInbound(testMemory, 10, func(what string) {
		switch what {
		case ClosedIdle:
			closed++
		case RefusedConnection:
			refused++
		}
	})
	for range 100 {
		is.True(open(a) != nil)
		is.True(a.Stats().Connections <= 10)
	}
	is.Equal(closed, 90)
	for c := range a.open {
		is.NoErr(c.BeginRequest("a"))
		is.NoErr(c.Arrived())
	}
	is.True(a.Open("callers", ConnectionBytes, func(bool) {}) == nil) // all serve complete requests
	is.Equal(refused, 1)
}

// TestListenersLeaveConnections guards against clients of one listener who are all being served and keep
// the readiness probe of another one out.
func TestListenersLeaveConnections(t *testing.T) {
	is := is.New(t)
	a := NewInbound(testMemory, 64, func(string) {})
	for range 64 {
		c := a.Open("callers", ConnectionBytes, func(bool) {})
		if c == nil {
			break
		}
		is.NoErr(c.BeginRequest("a"))
		is.NoErr(c.Arrived())
	}
	is.Equal(a.Stats().Connections, 60)
	for range 8 {
		is.True(a.Open("readiness", ConnectionBytes, func(bool) {}) != nil)
	}
	is.Equal(a.Stats().Connections, 64) // the last four replaced idle ones of their own listener
}

// TestStreamsCountOnTheirConnection guards against a connection of HTTP/2 that is closed as idle while
// requests on it are served, and against memory of a stream that stays reserved.
func TestStreamsCountOnTheirConnection(t *testing.T) {
	is := is.New(t)
	a := NewInbound(testMemory, 1, func(string) {})
	c := a.Open("peers", ConnectionBytes, func(bool) {})
	first, second := c.OpenStream(func(bool) {}), c.OpenStream(func(bool) {})
	for _, s := range []*Connection{first, second} {
		is.NoErr(s.AddHeader(300, 8))
		is.NoErr(s.BeginRequest(""))
		is.NoErr(s.Arrived())
	}
	is.True(a.Open("callers", ConnectionBytes, func(bool) {}) == nil)
	first.EndRequest()
	first.Close()
	is.True(a.Open("callers", ConnectionBytes, func(bool) {}) == nil)
	second.EndRequest()
	second.Close()
	is.Equal(a.Stats().UsedBytes, int64(ConnectionBytes))
	is.True(a.Open("callers", ConnectionBytes, func(bool) {}) != nil) // in place of the idle one
	is.Equal(a.Stats().Connections, 1)
}

// TestAnswersAreBounded guards against answers that clients don't read and that use up the memory of
// requests.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	a := NewInbound(testMemory, 100, func(string) {})
	c := a.Open("peers", ConnectionBytes, func(bool) {})
	held := 0
	for c.AddAnswer(1<<20) == nil {
		held++
	}
	is.Equal(held, 6) // a quarter of 24 MB
	c.EndAnswer(1 << 20)
	is.NoErr(c.AddAnswer(1 << 20))
	for range held {
		c.EndAnswer(1 << 20)
	}
	is.Equal(a.Stats().UsedBytes, int64(ConnectionBytes))
}

// TestHeaderLinesAreCounted guards against short header lines without end, which need more memory than
// their bytes.
func TestHeaderLinesAreCounted(t *testing.T) {
	is := is.New(t)
	a := NewInbound(testMemory, 1000, func(string) {})
	for range 300 {
		c := open(a)
		for range 15 {
			if c.AddHeader(4096, 500) != nil {
				break
			}
		}
		is.True(a.Stats().UsedBytes <= testMemory)
	}
}

// TestInboundIsNeverExceeded guards against reserved bytes above the limits and bytes that stay reserved
// for good, in random orders of all operations.
func TestInboundIsNeverExceeded(t *testing.T) {
	rapid.Check(t, checkNeverExceeded)
}

func checkNeverExceeded(t *rapid.T) {
	const limit = 1 << 20
	a := NewInbound(limit, 8, func(string) {})
	a.roomWait = 0
	var all []*Connection
	var bodies []*Body
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		if len(all) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
			var c *Connection
			c = a.Open("callers", ConnectionBytes, func(answer bool) {
				if !answer {
					c.Close()
					return
				}
				c.EndRequest()
			})
			if c != nil {
				all = append(all, c)
			}
			continue
		}
		c := all[rapid.IntRange(0, len(all)-1).Draw(t, "connection")]
		switch rapid.IntRange(0, 5).Draw(t, "action") {
		case 0:
			_ = c.AddHeader(rapid.IntRange(1, 4096).Draw(t, "bytes"), rapid.IntRange(0, 100).Draw(t, "lines"))
		case 1:
			_ = c.BeginRequest("a")
		case 2:
			size := rapid.IntRange(1, 300<<10).Draw(t, "size")
			if c.body == nil {
				body, _ := c.ReadBody(bytes.NewReader(make([]byte, size)), Upload{Announced: -1})
				bodies = append(bodies, body)
			}
		case 3:
			_ = c.Arrived()
		case 4:
			c.EndRequest()
			c.SetIdle()
		case 5:
			c.Close()
		}
		if s := a.Stats(); s.UsedBytes > limit || s.BodyBytes > a.bodyLimit || s.UnfinishedBytes > s.BodyBytes || s.UsedBytes < 0 || s.UnfinishedBytes < 0 {
			t.Fatalf("%+v", s)
		}
	}
	for _, b := range bodies {
		b.Release()
	}
	for _, c := range all {
		c.EndRequest()
		c.Close()
	}
	if s := a.Stats(); s.UsedBytes != 0 || s.BodyBytes != 0 || s.UnfinishedBytes != 0 || s.Connections != 0 {
		t.Fatalf("stay reserved: %+v", s)
	}
}

// BenchmarkInbound measures the account of an ordinary request.
func BenchmarkInbound(b *testing.B) {
	a := NewInbound(testMemory, 1000, func(string) {})
	c := a.Open("callers", ConnectionBytes, func(bool) {})
	body := make([]byte, 300)
	b.ReportAllocs()
	for b.Loop() {
		_ = c.AddHeader(400, 12)
		_ = c.BeginRequest("a")
		read, _ := c.ReadBody(bytes.NewReader(body), Upload{Announced: 300})
		_ = c.Arrived()
		read.Release()
		c.EndRequest()
		c.SetIdle()
	}
}
