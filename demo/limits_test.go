package demo

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/settings"
)

func setLowLimits(_ int, s *settings.Settings) {
	s.Limits.MaxBodyBytes = 1024
	s.Limits.MaxHeaderBytes = 1024
	s.Limits.BodyTimeoutSeconds = 0.05
	s.Limits.HeaderTimeoutSeconds = 0.05
	s.Limits.IdleTimeoutSeconds = 0.05
}

// sendRaw sends bytes on a new connection and returns everything that it
// receives until the node closes the connection.
func sendRaw(t *testing.T, address, request string, halfClose bool) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The deadline fails the test if the node never closes the connection.
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	if halfClose {
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	response, err := io.ReadAll(conn)
	if err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatal(err)
	}
	return string(response)
}

// parseResponse returns the status and the error detail of a raw HTTP response. The
// status is 0 if the response can't be parsed, for example if it is empty.
func parseResponse(t *testing.T, response string) (int, apierr.Detail) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(response)), nil)
	if err != nil {
		return 0, apierr.Detail{}
	}
	defer resp.Body.Close()
	var body apierr.Body
	_ = json.NewDecoder(resp.Body).Decode(&body)
	return resp.StatusCode, body.Error
}

// Guards against callers that occupy a connection or memory without limit, and
// against errors that don't describe the problem.
func TestCallerLimits(t *testing.T) {
	d := startDeployment(t, Options{Nodes: 1, Settings: setLowLimits})
	address := d.Nodes[0].CallerAddress()
	auth := "Host: x\r\nAuthorization: Bearer " + d.Key + "\r\n"
	post := "POST /v1/chat/completions HTTP/1.1\r\n" + auth
	tests := []struct {
		name      string
		request   string
		halfClose bool
		status    int
		code      apierr.Code
	}{
		{"body larger than the limit", post + "Content-Length: 2048\r\n\r\n" + strings.Repeat("x", 2048), false, 413, apierr.TooLarge},
		{"chunked body larger than the limit", post + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048) + "\r\n0\r\n\r\n", false, 413, apierr.TooLarge},
		{"body that stops arriving", post + "Content-Length: 100\r\n\r\n{", false, 400, apierr.BadRequest},
		{"wrong key and body that stops arriving", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", false, 401, apierr.Unauthorized},
		{"unknown route and body that stops arriving", "POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", false, 404, apierr.NotFound},
		{"body cut by a half-closed connection", post + "Content-Length: 100\r\n\r\n{", true, 400, apierr.BadRequest},
		{"header that stops arriving", "POST /v1/chat", false, 400, ""},
		{"header larger than the limit", post + "X-Pad: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", false, 431, ""},
		{"malformed request line", "nonsense\r\n\r\n", false, 400, ""},
		{"malformed JSON", post + "Content-Length: 1\r\n\r\n{", false, 400, apierr.BadRequest},
		{"wrong type", post + "Content-Length: 12\r\n\r\n{\"model\": 1}", false, 400, apierr.BadRequest},
		{"idle connection", "", false, 0, ""},
		{"unknown route", "GET /nothing HTTP/1.1\r\n" + auth + "\r\n", false, 404, apierr.NotFound},
		{"wrong method", "DELETE /v1/chat/completions HTTP/1.1\r\n" + auth + "\r\n", false, 400, apierr.BadRequest},
		{"length and transfer encoding", post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, 400, apierr.BadRequest},
		{"options of the server", "OPTIONS * HTTP/1.1\r\n" + auth + "\r\n", false, 404, apierr.NotFound},
		{"unknown service", "GET /services/nothing/ HTTP/1.1\r\n" + auth + "\r\n", false, 404, apierr.NotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			status, detail := parseResponse(t, sendRaw(t, address, test.request, test.halfClose))
			is.Equal(status, test.status)
			is.Equal(detail.Code, test.code)
			if test.code != "" {
				is.True(detail.NotRun) // nothing was sent to a backend server
				is.True(detail.Message != "")
			}
		})
	}
}

// Guards against an unlimited number of connections, and against idle ones that keep a caller out: a third
// caller is served in place of the connection that has been idle for the longest time.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Options{Nodes: 1, Settings: func(_ int, s *settings.Settings) { s.Limits.MaxConnections = 2 }})
	address := d.Nodes[0].CallerAddress()
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		conns = append(conns, conn)
		fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", d.Key)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	_, err := conns[0].Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed for the third one
	_ = conns[1].SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = conns[1].Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // still open
}

// Guards against slow or oversized requests that occupy the operator listener,
// and against requests without the secret.
func TestOperatorLimits(t *testing.T) {
	d := startDeployment(t, Options{Nodes: 1, Settings: func(_ int, s *settings.Settings) {
		s.Limits.BodyTimeoutSeconds = 0.05
		s.Secrets.Operator = "operator-secret-00"
	}})
	address := d.Nodes[0].OperatorAddress()
	putRequest := "PUT /v1/config HTTP/1.1\r\nHost: x\r\n"
	auth := "Authorization: Bearer operator-secret-00\r\n"
	for _, test := range []struct {
		name, request string
		status        int
	}{
		{"no secret", putRequest + "Content-Length: 2\r\n\r\n{}", 401},
		{"wrong secret", putRequest + "Authorization: Bearer x\r\nContent-Length: 2\r\n\r\n{}", 401},
		{"wrong secret and body that stops arriving", putRequest + "Authorization: Bearer x\r\nContent-Length: 100\r\n\r\n{", 401},
		{"body that stops arriving", putRequest + auth + "Content-Length: 100\r\n\r\n{", 400},
		{"body larger than the limit", putRequest + auth + "Content-Length: 99999999\r\n\r\n{", 400},
		{"incomplete change", putRequest + auth + "Connection: close\r\nContent-Length: 2\r\n\r\n{}", 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			_, err = io.WriteString(conn, test.request)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, test.status)
		})
	}
}

// Guards against a peer that keeps a request open by never finishing its body.
func TestPeerBodyLimit(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Options{Nodes: 1, Settings: func(_ int, s *settings.Settings) { s.Limits.BodyTimeoutSeconds = 0.05 }})
	client := &http.Client{Transport: &http.Transport{Protocols: peer.Protocols()}, Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	body, writer := io.Pipe()
	defer writer.Close()
	url := "http://" + d.Nodes[0].VM().Address + "/figweir.v1.MembershipService/Heartbeat"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	is.NoErr(err)
	req.Header.Set("Content-Type", "application/proto")
	req.Header.Set("Authorization", "Bearer "+peerSecret)
	resp, err := client.Do(req)
	is.NoErr(err) // a response arrives although the body never ends
	defer resp.Body.Close()
	is.True(resp.StatusCode != http.StatusOK)
}
