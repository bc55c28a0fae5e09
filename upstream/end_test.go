package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fixedPauses says whether the process did not run.
type fixedPauses bool

func (p fixedPauses) PausedSince(time.Time) bool { return bool(p) }

// TestEndThatLayUnreadIsNoProof guards against an answer without a length that is taken for complete
// because its server, which crashed meanwhile, accepts connections again when the end is read: after a
// slow caller, and after a pause of the process. A connection from before that is still open shows that
// the server has not crashed.
func TestEndThatLayUnreadIsNoProof(t *testing.T) {
	for name, c := range map[string]struct {
		readLate, paused, openConnection, complete bool
	}{
		"read at once":                         {false, false, false, true},
		"read late":                            {true, false, false, false},
		"read late, other connection open":     {true, false, true, true},
		"after a pause":                        {false, true, false, false},
		"after a pause, other connection open": {false, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			end := make(chan struct{})
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbegin")
						<-end
						_ = conn.Close()
					}()
				}
			}()
			p := NewPool(DefaultOptions)
			p.SetPauses(fixedPauses(c.paused))
			if c.openConnection {
				is.True(!p.Refuses(context.Background(), l.Addr().String())) // leaves an idle connection
				time.Sleep(50 * time.Millisecond)                            // the kernel counts the age of data in ticks of up to 10 ms
			}
			r := newGet(l.Addr().String())
			r.NewConnection = true
			resp, err := p.Do(t.Context(), r)
			is.NoErr(err)
			defer resp.Close()
			_, err = io.ReadFull(resp.Body, make([]byte, 5))
			is.NoErr(err)
			// The last data is older than maxEndAge in any case.
			time.AfterFunc(2*maxEndAge, func() { close(end) })
			if c.readLate {
				time.Sleep(3 * maxEndAge)
			}
			_, err = io.ReadAll(resp.Body)
			is.Equal(err == nil, c.complete)
		})
	}
}
