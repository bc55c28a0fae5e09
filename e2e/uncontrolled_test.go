package e2e

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tidwall/sjson"

	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/settings"
	"github.com/figweir/figweir/standin/crowd"
)

const (
	// nodeMemoryMB is the memory of a node's VM: the default of limits.memory_mb.
	nodeMemoryMB = 512
	// crowdSize is how many clients of one kind there are at a time, http2CrowdSize how many of HTTP/2,
	// each with several requests.
	crowdSize      = 100
	http2CrowdSize = 20
	// otherDescriptors is how many descriptors a node may have besides two for each connection of a
	// client: one for the connection itself and one for that to a backend server.
	otherDescriptors = 32
	// heldConnections is the limit of connections that is used up by a crowd of twice the size.
	heldConnections = 16
	// crowdHold is how long the clients keep what they have sent open.
	crowdHold = time.Second
)

// crowdBodyBytes is the size of the bodies of the clients: the default of limits.max_body_bytes.
var crowdBodyBytes = int(settings.Default().Limits.MaxBodyBytes)

// checkNode checks that a node is alive, has stayed within its memory and has few open descriptors, and
// that it answers an ordinary request.
func (d *deployment) checkNode(t *testing.T) {
	t.Helper()
	n := d.nodes[0]
	select {
	case <-n.exited:
		t.Fatal("the node has ended")
	default:
	}
	peak := peakMemoryMB(t, n.process)
	t.Logf("peak memory %d MB of %d MB", peak, nodeMemoryMB)
	if peak > nodeMemoryMB {
		t.Errorf("the node has had %d MB, its limit is %d MB", peak, nodeMemoryMB)
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	if limit := 2*n.settings.Limits.MaxConnections + otherDescriptors; err != nil || len(entries) > limit {
		t.Errorf("%d of %d descriptors are open: %v", len(entries), limit, err)
	}
	eventually(t, "an ordinary request is answered", func() error { return d.sendChat(0, d.key, newChatRequest("after the crowd", 4, false), nil) })
}

// TestNodeListenersOutliveCrowds guards against a node that runs out of memory, or stops answering,
// because of what clients send on its listeners for callers and for operators: bodies that stop before
// their end or exceed the limit, headers and trailers without end, and idle connections. Callers and
// operators are answered afterwards.
func TestNodeListenersOutliveCrowds(t *testing.T) {
	for _, listener := range []string{"callers", "operators"} {
		t.Run(listener, func(t *testing.T) {
			d := startDeployment(t, 1)
			s := d.nodes[0].settings
			target := crowd.Target{
				Address: s.Listen.Callers, BodyBytes: crowdBodyBytes,
				Head: "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + d.key + "\r\n",
			}
			if listener == "operators" {
				target.Address = s.Listen.Operators
				target.Head = "PUT /v1/config HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + d.operatorSecret + "\r\n"
			}
			for _, kind := range crowd.Kinds {
				t.Run(kind.Name, func(t *testing.T) {
					kind.Send(target, crowdSize, crowdHold)
					d.checkNode(t)
					eventually(t, "operators are answered", func() error { return d.probe(d.nodes[0], "/readyz") })
				})
			}
		})
	}
}

// TestNodeConnectionsAreLeft guards against clients who keep all connections of a node, so that nobody else
// is answered: more of them than it may have stay idle, stop inside a request, or send requests without
// reading the answers. Callers and operators are answered while their connections are open.
func TestNodeConnectionsAreLeft(t *testing.T) {
	d := startDeployment(t, 1)
	d.restartWithLimits(t, map[string]any{"max_connections": heldConnections, "body_timeout_s": 2, "write_timeout_s": 2})
	d.httpClient.Timeout = pollTimeout / 4 // a request without an answer must not hold the test up
	s := d.nodes[0].settings
	for _, listener := range []string{"callers", "operators"} {
		target := crowd.Target{
			Address: s.Listen.Callers,
			Head:    "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + d.key + "\r\n",
			Request: "GET /v1/models HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + d.key + "\r\n\r\n",
		}
		if listener == "operators" {
			target.Address = s.Listen.Operators
			target.Head = "PUT /v1/config HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + d.operatorSecret + "\r\n"
			target.Request = "GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n"
		}
		for _, kind := range crowd.HoldingKinds {
			t.Run(listener+" "+kind.Name, func(t *testing.T) {
				// The second crowd takes what the first one has left.
				defer kind.Begin(target, 2*heldConnections)()
				defer kind.Begin(target, 2*heldConnections)()
				d.httpClient.CloseIdleConnections()
				d.checkNode(t)
				eventually(t, "operators are answered", func() error { return d.probe(d.nodes[0], "/readyz") })
			})
		}
	}
}

// restartWithLimits starts the node again with other limits in its settings.
func (d *deployment) restartWithLimits(t *testing.T, limits map[string]any) {
	is := is.New(t)
	n := d.nodes[0]
	raw, err := os.ReadFile(n.settingsFile)
	is.NoErr(err)
	for name, value := range limits {
		raw, err = sjson.SetBytes(raw, "limits."+name, value)
		is.NoErr(err)
	}
	is.NoErr(os.WriteFile(n.settingsFile, raw, 0o600))
	n.settings, err = settings.Load(n.settingsFile)
	is.NoErr(err)
	n.signal(t, syscall.SIGKILL)
	n.waitForExit(t)
	d.startNode(0)
	d.waitReady(0)
}

// TestNodePeerListenerOutlivesCrowds guards against the same on the listener for peers, which speaks
// HTTP/2: many messages at a time that stop before their end, compressed ones, headers without end,
// large headers of open requests, and idle connections. Some clients know the secret of the nodes.
func TestNodePeerListenerOutlivesCrowds(t *testing.T) {
	d := startDeployment(t, 1)
	s := d.nodes[0].settings
	for name, secret := range map[string]string{"without the secret": "", "with the secret": s.Secrets.Peer} {
		target := crowd.HTTP2Target{
			Address: s.Listen.Peers, Path: figweirv1connect.ConfigServicePushProcedure, MessageBytes: crowdBodyBytes, Secret: secret,
		}
		for _, kind := range crowd.HTTP2Kinds {
			t.Run(kind.Name+" "+name, func(t *testing.T) {
				kind.Send(target, http2CrowdSize, crowdHold)
				d.checkNode(t)
				eventually(t, "peers are answered", func() error { return callPeer(target) })
			})
		}
	}
}

// callPeer makes a call to the listener for peers. Any answer but 503 will do.
func callPeer(target crowd.HTTP2Target) error {
	client := peer.NewHTTPClient()
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+target.Address+target.Path, "application/proto", http.NoBody)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return errors.New("status 503")
	}
	return resp.Body.Close()
}

// largestChatBody returns a body of crowdBodyBytes whose prompt is short.
func largestChatBody() string {
	const start, end = `{"model": "` + model + `", "messages": [{"role": "user", "content": "p"}], "max_tokens": 4, "metadata": {"note": "`, `"}}`
	return start + strings.Repeat("n", crowdBodyBytes-len(start)-len(end)) + end
}

// sendBody sends a chat request with the given body, in chunks if the length is negative, and returns
// the status of the answer.
func (d *deployment) sendBody(body string, length int64) (status int, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.nodes[0].settings.Listen.Callers+"/v1/chat/completions", io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return 0, err
	}
	r.ContentLength = length
	r.Header.Set("Authorization", "Bearer "+d.key)
	resp, err := d.httpClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestNodeServesLargestBody guards against limits that a single request inside the documented limits
// meets: the largest body, announced and in chunks.
func TestNodeServesLargestBody(t *testing.T) {
	d := startDeployment(t, 1)
	for name, length := range map[string]int64{"announced": int64(crowdBodyBytes), "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, err := d.sendBody(largestChatBody(), length)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
}

// TestNodeServesLargestBodiesAtOnce guards against a node that runs out of memory because it decodes many
// of the largest bodies at the same time, and against callers who are not answered then. A caller who is
// refused sends its request again; the refusals are logged.
func TestNodeServesLargestBodiesAtOnce(t *testing.T) {
	d := startDeployment(t, 1)
	const callers, attempts = 40, 20
	body := largestChatBody()
	var refused atomic.Int64
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for attempt := 1; ; attempt++ {
				status, err := d.sendBody(body, int64(len(body)))
				if status == http.StatusOK && err == nil {
					return
				}
				if attempt == attempts {
					t.Errorf("a request is not answered: status %d, %v", status, err)
					return
				}
				refused.Add(1)
				time.Sleep(time.Second)
			}
		})
	}
	all.Wait()
	t.Logf("%d refusals of %d requests", refused.Load(), callers)
	d.checkNode(t)
}
