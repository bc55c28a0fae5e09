package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// giveUpTime is when a test stops to wait for something that should have happened at once.
const giveUpTime = 10 * time.Second

// TestNothingIsSentWithEndedContext guards against a request that is written to an idle connection
// although whoever sent it has given it up before: 200 requests, one after the other, whose context
// has ended.
func TestNothingIsSentWithEndedContext(t *testing.T) {
	is := is.New(t)
	address, requests, _ := startScriptedServer(t, completeResponse, completeResponse)
	p := NewPool(DefaultOptions)
	_, err := do(t, p, newGet(address))
	is.NoErr(err)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 200 {
		_, err := p.Do(ended, newGet(address))
		var notSent *NotSentError
		is.True(errors.As(err, &notSent))
		is.True(errors.Is(err, context.Canceled))
	}
	// The connection was not used, so it is still good for the next request.
	_, err = do(t, p, newGet(address))
	is.NoErr(err)
	is.Equal(requests.Load(), int64(2))
}

// TestConnectionOutlivesRequestThatIsNotSent guards against a new connection for each request that
// is dropped before it is sent, and against an idle time that begins anew with each of them.
func TestConnectionOutlivesRequestThatIsNotSent(t *testing.T) {
	is := is.New(t)
	address, requests, connections := startScriptedServer(t, completeResponse, completeResponse)
	p := NewPool(DefaultOptions)
	_, err := do(t, p, newGet(address))
	is.NoErr(err)
	idleUntil := p.idle[address][0].idleUntil
	errDropped := errors.New("dropped")
	for range 10 {
		r := newGet(address)
		r.Trace = droppingTrace{errDropped}
		_, err = do(t, p, r)
		var notSent *NotSentError
		is.True(errors.As(err, &notSent))
		is.True(errors.Is(err, errDropped))
	}
	is.True(!p.idle[address][0].idleUntil.After(idleUntil.Add(time.Millisecond)))
	_, err = do(t, p, newGet(address))
	is.NoErr(err)
	is.Equal(connections.Load(), int64(1))
	is.Equal(requests.Load(), int64(2))
}

// droppingTrace keeps each request from being sent.
type droppingTrace struct{ err error }

func (t droppingTrace) BeforeWrite(time.Time) error { return t.err }
func (t droppingTrace) Written(time.Time)           {}
func (t droppingTrace) GivenUp(time.Time, int)      {}

// TestGivenUpRequestIsNotDeliveredLate guards against a server that gets a complete request after
// it has been given up, because its bytes waited in the socket of the node: the server's side takes
// no more than a part of it before.
func TestGivenUpRequestIsNotDeliveredLate(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	accepted := make(chan *net.TCPConn, 1)
	setReceiveBuffer(t, l)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c.(*net.TCPConn)
		}
	}()
	trace := &recordedTrace{written: make(chan struct{}), givenUp: make(chan int, 1)}
	r := newGet(l.Addr().String())
	r.Method, r.Body, r.Trace = http.MethodPost, make([]byte, maxInlineBodyBytes), trace
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-trace.written
		cancel()
	}()
	_, err = NewPool(DefaultOptions).Do(ctx, r)
	is.True(errors.Is(err, context.Canceled))
	is.True(<-trace.givenUp > 0)
	c := <-accepted
	defer c.Close()
	is.NoErr(c.SetReadDeadline(time.Now().Add(giveUpTime)))
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	is.True(err != nil) // the request must not arrive complete
}

// setReceiveBuffer makes the kernel take only a few kilobytes on each connection of a listener
// while nothing reads.
func setReceiveBuffer(t *testing.T, l net.Listener) {
	t.Helper()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := setSmallBuffer(raw); err != nil {
		t.Fatal(err)
	}
}

// recordedTrace passes on when a request was written and when it was given up.
type recordedTrace struct {
	written chan struct{}
	givenUp chan int
}

func (t *recordedTrace) BeforeWrite(time.Time) error { return nil }
func (t *recordedTrace) Written(time.Time)           { close(t.written) }
func (t *recordedTrace) GivenUp(_ time.Time, unacknowledged int) {
	select {
	case t.givenUp <- unacknowledged:
	default:
	}
}

// TestServerLearnsAtOnceThatRequestIsGivenUp guards against a server that works on because whoever
// relays its response is busy elsewhere, for example writing to a caller that doesn't read.
func TestServerLearnsAtOnceThatRequestIsGivenUp(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nbegin")
		_ = c.SetReadDeadline(time.Now().Add(giveUpTime))
		_, err = c.Read(make([]byte, 1))
		closed <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := NewPool(DefaultOptions).Do(ctx, newGet(l.Addr().String()))
	is.NoErr(err)
	cancel()
	// Nobody reads the response or closes it meanwhile.
	err = <-closed
	is.True(!isTimeout(err))
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
	resp.Close()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
