package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/figweir/figweir/discovery"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
	"github.com/figweir/figweir/store"
)

// StateSource provides the state that a node relays to others. discovery.Relay
// implements it.
type StateSource interface {
	// State returns the state, with the configuration only if its version is
	// greater than knownConfig.
	State(knownConfig int64) discovery.PeerState
}

// StateClient implements discovery.StatePuller: it pulls the state that other nodes
// have read from the store.
type StateClient struct {
	clients clientCache[figweirv1connect.StateServiceClient]
}

var _ discovery.StatePuller = (*StateClient)(nil)

// NewStateClient returns a client that authenticates with auth.
func NewStateClient(httpClient connect.HTTPClient, auth *Auth) *StateClient {
	return &StateClient{clientCache[figweirv1connect.StateServiceClient]{
		make: figweirv1connect.NewStateServiceClient, httpClient: httpClient,
		options: []connect.ClientOption{connect.WithInterceptors(auth), connect.WithReadMaxBytes(MaxConfigBytes)},
	}}
}

// Pull implements discovery.StatePuller.
func (c *StateClient) Pull(ctx context.Context, address string, knownConfig int64) (discovery.PeerState, error) {
	r, err := c.clients.get(address).Pull(ctx, &figweirv1.PullRequest{ConfigVersion: knownConfig})
	if err != nil {
		return discovery.PeerState{}, err
	}
	s := discovery.PeerState{Config: r.GetConfig(), Following: r.GetFollowing()}
	for _, e := range r.GetRegistrations() {
		s.Registrations = append(s.Registrations, store.Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: store.Revision(e.GetRevision())})
	}
	s.Quarantine = DecodeQuarantine(time.Now(), r.GetQuarantine())
	return s, nil
}

// NewStateHandler returns the path and the HTTP handler of StateService.
func NewStateHandler(source StateSource, auth *Auth) (string, http.Handler) {
	return figweirv1connect.NewStateServiceHandler(stateServer{source},
		connect.WithInterceptors(auth), connect.WithReadMaxBytes(maxQueryBytes), connect.WithCompressMinBytes(1<<10))
}

// stateServer implements StateService with a source.
type stateServer struct{ source StateSource }

// Pull implements figweirv1connect.StateServiceHandler. The error is always nil.
func (s stateServer) Pull(_ context.Context, request *figweirv1.PullRequest) (*figweirv1.PullResponse, error) {
	state := s.source.State(request.GetConfigVersion())
	r := &figweirv1.PullResponse{Config: state.Config, Following: state.Following, Quarantine: EncodeQuarantine(time.Now(), &state.Quarantine)}
	for _, e := range state.Registrations {
		r.Registrations = append(r.Registrations, &figweirv1.Registration{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision)})
	}
	return r, nil
}
