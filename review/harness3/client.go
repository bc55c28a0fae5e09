//go:build review

package harness3

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Client sends requests one after another on a connection that it keeps.
type Client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// NewClient returns a client of a gateway. It connects with the first request.
func NewClient(address string) *Client { return &Client{address: address} }

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Do sends a request as text and reads the complete answer. The status is 0 if there was none. After an
// error the next request uses a new connection.
func (c *Client) Do(head, body string) (status int, answer string) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return 0, ""
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if _, err := io.WriteString(c.conn, head+body); err != nil {
		c.Close()
		return 0, ""
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.Close()
		return 0, ""
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.Close()
		return 0, string(text)
	}
	if resp.Close {
		c.Close()
	}
	return resp.StatusCode, string(text)
}
