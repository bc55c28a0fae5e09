package peer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/figweir/figweir/configsync"
	"github.com/figweir/figweir/membership"
)

// recordingHandler records the requests that it receives and returns fixed
// replies.
type recordingHandler struct {
	request *membership.Request
	push    *configsync.PushRequest
	pull    *configsync.PullRequest
}

var (
	testState   = membership.NodeState{Name: "vm1", Incarnation: "0a", Heartbeat: 7, Leaving: true, Revision: 9, Informed: true, SuspectedBy: []string{"vm2"}}
	testRequest = &membership.Request{
		Self: testState, Changes: []membership.NodeState{testState}, NoticesDigest: 3, ListHash: 4, WantReach: true,
		Notices: []membership.ServerNotice{{Name: "laugar-17", Version: 2, Leaving: true}},
	}
	testReply = &membership.Reply{
		Self: testState, Changes: []membership.NodeState{testState}, StoreReadAge: membership.EvidenceAge{Known: true, Age: 1500 * time.Microsecond},
		Notices: []membership.ServerNotice{}, Reach: &membership.Reach{Ages: []byte{1, 255}, Coarse: true, NameHashes: []uint64{5, 6}},
	}
	testParts = []configsync.Part{{Name: "base", Digest: "d1", Value: []byte("{}")}, {Name: "workspaces-01", Digest: "d2"}}
)

func (h *recordingHandler) Handle(_ context.Context, r *membership.Request) (*membership.Reply, error) {
	h.request = r
	return testReply, nil
}

func (h *recordingHandler) HandlePush(_ context.Context, r *configsync.PushRequest) (*configsync.PushReply, error) {
	h.push = r
	return &configsync.PushReply{Revision: 5, Missing: []string{"d2"}}, nil
}

func (h *recordingHandler) HandlePull(_ context.Context, r *configsync.PullRequest) (*configsync.PullReply, error) {
	h.pull = r
	return &configsync.PullReply{Revision: 6, Author: "a", Parts: testParts}, nil
}

// TestRequireSecret guards against messages of clients without the secret that are read before the call is
// refused.
func TestRequireSecret(t *testing.T) {
	is := is.New(t)
	handled := 0
	h := NewAuth("secret-of-the-nodes").RequireSecret(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled++ }))
	for token, status := range map[string]int{"": http.StatusUnauthorized, "Bearer x": http.StatusUnauthorized, "Bearer secret-of-the-nodes": http.StatusOK} {
		unread := &unreadBody{}
		r := httptest.NewRequest(http.MethodPost, "/figweir.v1.ConfigService/Push", unread)
		r.Header.Set("Content-Type", "application/proto")
		r.Header.Set("Authorization", token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		is.Equal(w.Code, status)
		is.True(!unread.read)
	}
	is.Equal(handled, 1)
}

// unreadBody records whether it is read.
type unreadBody struct{ read bool }

// Read implements io.Reader.
func (b *unreadBody) Read([]byte) (int, error) {
	b.read = true
	return 0, io.EOF
}

// startServer serves both services on loopback and requires a secret.
func startServer(t *testing.T, secret string) (*recordingHandler, membership.VM) {
	handler, mux := &recordingHandler{}, http.NewServeMux()
	mux.Handle(NewMembershipHandler(handler, NewAuth(secret)))
	mux.Handle(NewConfigHandler(handler, NewAuth(secret)))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = Protocols()
	server.Start()
	t.Cleanup(server.Close)
	return handler, membership.VM{Name: "vm1", Address: server.Listener.Addr().String()}
}

// TestSecretIsRequired guards against a service that handles a call without the
// right secret.
func TestSecretIsRequired(t *testing.T) {
	is := is.New(t)
	handler, vm := startServer(t, "right")
	ctx := context.Background()
	client := NewHTTPClient()
	defer client.CloseIdleConnections()
	for _, secret := range []string{"", "wrong", "right ", "righ"} {
		_, err := NewMembershipClient(client, NewAuth(secret)).Heartbeat(ctx, vm, testRequest)
		is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
		configs := NewConfigClient(client, NewAuth(secret))
		_, err = configs.Push(ctx, vm, &configsync.PushRequest{})
		is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
		_, err = configs.Pull(ctx, vm, &configsync.PullRequest{})
		is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
	}
	is.True(handler.request == nil && handler.push == nil && handler.pull == nil)
}

// TestMessagesArriveComplete guards against a conversion that omits a field or
// rounds an age down.
func TestMessagesArriveComplete(t *testing.T) {
	is := is.New(t)
	handler, vm := startServer(t, "right")
	ctx := context.Background()
	client := NewHTTPClient()
	defer client.CloseIdleConnections()
	reply, err := NewMembershipClient(client, NewAuth("right")).Heartbeat(ctx, vm, testRequest)
	is.NoErr(err)
	is.True(reflect.DeepEqual(handler.request, testRequest))
	want := *testReply
	want.StoreReadAge.Age = 2 * time.Millisecond
	is.True(reflect.DeepEqual(reply, &want))

	configs := NewConfigClient(client, NewAuth("right"))
	push := &configsync.PushRequest{Revision: 5, Author: "a", Parts: testParts}
	pushed, err := configs.Push(ctx, vm, push)
	is.NoErr(err)
	is.True(reflect.DeepEqual(handler.push, push))
	is.Equal(pushed, &configsync.PushReply{Revision: 5, Missing: []string{"d2"}})
	pull := &configsync.PullRequest{KnownRevision: 4, KnownDigests: []string{"d1"}}
	pulled, err := configs.Pull(ctx, vm, pull)
	is.NoErr(err)
	is.True(reflect.DeepEqual(handler.pull, pull))
	is.Equal(pulled, &configsync.PullReply{Revision: 6, Author: "a", Parts: testParts})
}
