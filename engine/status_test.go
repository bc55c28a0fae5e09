package engine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// startStatus answers each request with a status and the statement that it has not run.
func startStatus(t *testing.T, status string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\n"+HeaderNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestStatusOutsideRangeIsNoResponse guards against an order that is taken for accepted or refused, and
// against a stream that is taken for not run, because of a status that is not that of a response.
func TestStatusOutsideRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.NewRelaxed(t)
			address := startStatus(t, status)
			c := NewClient()
			defer c.Close()
			is.True(errors.Is(c.Order(t.Context(), address, Order{}), ErrOrderAmbiguous))
			_, err := c.Stream(t.Context(), address, Attempt{ID: "a"})
			is.True(errors.Is(err, ErrTruncated))
			is.True(!ProvesNotRun(err))
		})
	}
}
