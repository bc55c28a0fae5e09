package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/store"
)

// MaxHeartbeatBytes limits the size of a message. It is well above the size of a
// heartbeat with 256 notices and 24 changes.
const MaxHeartbeatBytes = 256 << 10

// HeartbeatHandler handles heartbeats. membership.Membership implements it.
type HeartbeatHandler interface {
	// Handle processes a heartbeat and returns the reply. An error is sent to the
	// caller with the code internal.
	Handle(ctx context.Context, request *membership.Request) (*membership.Reply, error)
}

// MembershipClient implements membership.Transport with connect-go.
type MembershipClient struct {
	clients clientCache[figweirv1connect.MembershipServiceClient]
}

var _ membership.Transport = (*MembershipClient)(nil)

// NewMembershipClient returns a client that authenticates with auth.
func NewMembershipClient(httpClient connect.HTTPClient, auth *Auth) *MembershipClient {
	return &MembershipClient{clientCache[figweirv1connect.MembershipServiceClient]{
		make:       figweirv1connect.NewMembershipServiceClient,
		httpClient: httpClient,
		options: []connect.ClientOption{
			connect.WithInterceptors(auth), connect.WithReadMaxBytes(MaxHeartbeatBytes), connect.WithAcceptCompression("gzip", nil, nil),
		},
	}}
}

// Heartbeat implements membership.Transport.
func (c *MembershipClient) Heartbeat(ctx context.Context, to membership.VM, request *membership.Request) (*membership.Reply, error) {
	response, err := c.clients.get(to.Address).Heartbeat(ctx, encodeHeartbeat(request))
	if err != nil {
		return nil, err
	}
	return decodeHeartbeatReply(response), nil
}

// NewMembershipHandler returns the path and the HTTP handler of
// MembershipService.
func NewMembershipHandler(handler HeartbeatHandler, auth *Auth) (string, http.Handler) {
	return figweirv1connect.NewMembershipServiceHandler(membershipServer{handler},
		connect.WithInterceptors(auth), connect.WithReadMaxBytes(MaxHeartbeatBytes))
}

// membershipServer implements MembershipService with a handler.
type membershipServer struct{ handler HeartbeatHandler }

// Heartbeat implements figweirv1connect.MembershipServiceHandler.
func (s membershipServer) Heartbeat(ctx context.Context, message *figweirv1.HeartbeatRequest) (*figweirv1.HeartbeatResponse, error) {
	reply, err := s.handler.Handle(ctx, decodeHeartbeat(message))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return encodeHeartbeatReply(reply), nil
}

func encodeHeartbeat(r *membership.Request) *figweirv1.HeartbeatRequest {
	return &figweirv1.HeartbeatRequest{
		Self:           encodeState(r.Self),
		Changes:        encodeStates(r.Changes),
		StoreReadAgeMs: -1, // unknown: only replies carry evidence, see membership.Reply
		LeavingServers: encodeNotices(r.Notices),
		LeavingDigest:  r.NoticesDigest,
		ListHash:       r.ListHash,
		WantReach:      r.WantReach,
	}
}

func decodeHeartbeat(m *figweirv1.HeartbeatRequest) *membership.Request {
	return &membership.Request{
		Self:          decodeState(m.GetSelf()),
		Changes:       decodeStates(m.GetChanges()),
		Notices:       decodeNotices(m.GetLeavingServers()),
		NoticesDigest: m.GetLeavingDigest(),
		ListHash:      m.GetListHash(),
		WantReach:     m.GetWantReach(),
	}
}

func encodeHeartbeatReply(r *membership.Reply) *figweirv1.HeartbeatResponse {
	m := &figweirv1.HeartbeatResponse{
		Self:           encodeState(r.Self),
		Changes:        encodeStates(r.Changes),
		StoreReadAgeMs: -1,
		LeavingServers: encodeNotices(r.Notices),
	}
	if r.StoreReadAge.Known {
		// Rounded up, since the encoded age must not be less than the real one.
		m.StoreReadAgeMs = int64((r.StoreReadAge.Age + time.Millisecond - 1) / time.Millisecond)
	}
	if r.Reach != nil {
		m.Reach = &figweirv1.Reach{Ages: r.Reach.Ages, Coarse: r.Reach.Coarse, NameHashes: r.Reach.NameHashes}
	}
	return m
}

func decodeHeartbeatReply(m *figweirv1.HeartbeatResponse) *membership.Reply {
	r := &membership.Reply{
		Self:    decodeState(m.GetSelf()),
		Changes: decodeStates(m.GetChanges()),
		Notices: decodeNotices(m.GetLeavingServers()),
	}
	if ms := m.GetStoreReadAgeMs(); ms >= 0 {
		r.StoreReadAge = membership.EvidenceAge{Known: true, Age: time.Duration(ms) * time.Millisecond}
	}
	if reach := m.GetReach(); reach != nil {
		r.Reach = &membership.Reach{Ages: reach.GetAges(), Coarse: reach.GetCoarse(), NameHashes: reach.GetNameHashes()}
	}
	return r
}

func encodeState(s membership.NodeState) *figweirv1.NodeState {
	return &figweirv1.NodeState{
		Name: s.Name, Incarnation: s.Incarnation, Heartbeat: s.Heartbeat, Leaving: s.Leaving,
		ConfigRevision: uint64(s.Revision), Informed: s.Informed, SuspectedBy: s.SuspectedBy,
	}
}

func decodeState(m *figweirv1.NodeState) membership.NodeState {
	return membership.NodeState{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Heartbeat: m.GetHeartbeat(), Leaving: m.GetLeaving(),
		Revision: store.Revision(m.GetConfigRevision()), Informed: m.GetInformed(), SuspectedBy: m.GetSuspectedBy(),
	}
}

func encodeStates(states []membership.NodeState) []*figweirv1.NodeState {
	out := make([]*figweirv1.NodeState, len(states))
	for i, s := range states {
		out[i] = encodeState(s)
	}
	return out
}

func decodeStates(messages []*figweirv1.NodeState) []membership.NodeState {
	out := make([]membership.NodeState, len(messages))
	for i, m := range messages {
		out[i] = decodeState(m)
	}
	return out
}

func encodeNotices(notices []membership.ServerNotice) []*figweirv1.LeavingServer {
	out := make([]*figweirv1.LeavingServer, len(notices))
	for i, n := range notices {
		out[i] = &figweirv1.LeavingServer{Name: n.Name, Version: n.Version, Leaving: n.Leaving}
	}
	return out
}

func decodeNotices(messages []*figweirv1.LeavingServer) []membership.ServerNotice {
	out := make([]membership.ServerNotice, len(messages))
	for i, m := range messages {
		out[i] = membership.ServerNotice{Name: m.GetName(), Version: m.GetVersion(), Leaving: m.GetLeaving()}
	}
	return out
}
