package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/platform/backendsim"
)

// gatewayMetric returns the value of a line of the metrics of the gateway, or 0 if there is none.
func gatewayMetric(name string) int {
	resp, err := http.Get("http://" + gatewayAddress + ":8110/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			value := 0
			_, _ = fmt.Sscan(text, &value)
			return value
		}
	}
	return 0
}

// TestBusyGatewaySendsNothingForCallersWhoLeft guards against requests that reach servers after
// their callers have left, because the process reads them late: it stands still for 1.5 s, and 40
// clients send in this time, on connections that they have used before, and leave after 0.4 s.
func TestBusyGatewaySendsNothingForCallersWhoLeft(t *testing.T) {
	is := is.New(t)
	var lateRuns sync.Map
	p := startGateway(t, func(r backendsim.Run) {
		if strings.HasPrefix(r.Attempt, "left-") {
			lateRuns.Store(r.Attempt, true)
		}
	})
	const clients = 40
	request := func(kind, id string) string {
		r, err := http.NewRequest(http.MethodPost, "http://"+backendsim.Host+"/unsafe/x", nil)
		is.NoErr(err)
		backendsim.SetCallerHeaders(r.Header, id, callerKey, 8*time.Second)
		var b strings.Builder
		is.NoErr(r.Write(&b))
		return strings.Replace(b.String(), "/unsafe/", "/"+kind+"/", 1)
	}
	var conns [clients]net.Conn
	for i := range conns {
		c, err := net.Dial("tcp", gatewayAddress+":8100")
		is.NoErr(err)
		defer c.Close()
		conns[i] = c
		_, err = io.WriteString(c, request("unsafe", fmt.Sprintf("first-%d", i)))
		is.NoErr(err)
	}
	for _, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	p.pause(t)
	for i, c := range conns {
		_, err := io.WriteString(c, request([]string{"safe", "unsafe"}[i%2], fmt.Sprintf("left-%d", i)))
		is.NoErr(err)
	}
	time.Sleep(400 * time.Millisecond)
	for _, c := range conns {
		is.NoErr(c.Close())
	}
	time.Sleep(1100 * time.Millisecond)
	p.signal(t, syscall.SIGCONT)
	eventually(t, "all requests have ended", func() error {
		if n := gatewayMetric(`requests_total{kind="total"}`); n < 2*clients {
			return fmt.Errorf("%d requests", n)
		}
		return nil
	})
	lateRuns.Range(func(id, _ any) bool {
		t.Errorf("%s ran after its caller had left", id)
		return true
	})
}

// nodeCounters are some of the metrics of a node of figweir's own interface.
type nodeCounters struct {
	Requests int `json:"requests_total"`
	InFlight int `json:"in_flight"`
	Attempts int `json:"attempts_total"`
}

// nodeMetrics returns the counters of a node.
func (d *deployment) nodeMetrics(n *nodeProcess) nodeCounters {
	d.t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+n.settings.Listen.Operators+"/debug/vars", nil)
	if err != nil {
		d.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+d.operatorSecret)
	resp, err := d.httpClient.Do(r)
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	var vars struct {
		Figweir nodeCounters `json:"figweir"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		d.t.Fatal(err)
	}
	return vars.Figweir
}

// TestBusyNodeSendsNothingForCallersWhoLeft guards against the same on figweir's own interface: the
// process stands still for a second, and 40 clients send in this time and leave, by turns a call that
// must not run twice, one that may, and a chat request.
func TestBusyNodeSendsNothingForCallersWhoLeft(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	n := d.nodes[0]
	write := func(r request) net.Conn {
		raw, err := json.Marshal(r.body)
		is.NoErr(err)
		req, err := http.NewRequest(r.method, "http://"+n.settings.Listen.Callers+r.path, bytes.NewReader(raw))
		is.NoErr(err)
		if r.header != nil {
			req.Header = r.header
		}
		req.Header.Set("Authorization", "Bearer "+d.key)
		c, err := net.Dial("tcp", n.settings.Listen.Callers)
		is.NoErr(err)
		is.NoErr(req.Write(c))
		return c
	}
	// The node has idle connections, so that nothing delays the next requests.
	is.NoErr(d.sendChat(0, d.key, newChatRequest("warm", 4, true), nil))
	_, err := d.sendCall(0, "warm")
	is.NoErr(err)
	before := d.nodeMetrics(n)
	const clients = 40
	n.pause(t)
	var conns []net.Conn
	for i := range clients {
		r := request{method: http.MethodPost, path: "/v1/chat/completions", body: newChatRequest(fmt.Sprint(i), 4, true)}
		switch key := fmt.Sprintf("left-%d", i); i % 3 {
		case 0:
			r = request{method: http.MethodPost, path: "/services/" + serviceName + "/bookings", header: http.Header{caller.HeaderIdempotencyKey: {key}}, body: booking{Slot: key}}
		case 1:
			r = request{method: http.MethodGet, path: "/services/" + serviceName + "/bookings"}
		}
		conns = append(conns, write(r))
	}
	for _, c := range conns {
		is.NoErr(c.Close())
	}
	time.Sleep(time.Second)
	n.signal(t, syscall.SIGCONT)
	eventually(t, "all requests have ended", func() error {
		m := d.nodeMetrics(n)
		if m.Requests < before.Requests+clients || m.InFlight > 0 {
			return fmt.Errorf("%d requests, %d in flight", m.Requests-before.Requests, m.InFlight)
		}
		return nil
	})
	is.Equal(d.nodeMetrics(n).Attempts, before.Attempts)
	for i := 0; i < clients; i += 3 {
		is.Equal(d.runCount(fmt.Sprintf("left-%d", i)), 0)
	}
}
