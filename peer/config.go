package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/figweir/figweir/configsync"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/store"
)

// MaxConfigBytes limits a message with all parts of a configuration. The store
// limits each part to 1 MB.
const MaxConfigBytes = 33 << 20

// ConfigHandler handles the calls that distribute the configuration.
// configsync.Sync implements it.
type ConfigHandler interface {
	// HandlePush handles a push. An error is sent to the caller with the code
	// invalid_argument.
	HandlePush(ctx context.Context, request *configsync.PushRequest) (*configsync.PushReply, error)
	// HandlePull handles a pull. An error is sent to the caller with the code
	// internal.
	HandlePull(ctx context.Context, request *configsync.PullRequest) (*configsync.PullReply, error)
}

// ConfigClient implements configsync.Transport with connect-go.
type ConfigClient struct {
	clients clientCache[figweirv1connect.ConfigServiceClient]
}

var _ configsync.Transport = (*ConfigClient)(nil)

// NewConfigClient returns a client that authenticates with auth. Requests are
// compressed, because the values are JSON.
func NewConfigClient(httpClient connect.HTTPClient, auth *Auth) *ConfigClient {
	return &ConfigClient{clientCache[figweirv1connect.ConfigServiceClient]{
		make:       figweirv1connect.NewConfigServiceClient,
		httpClient: httpClient,
		options: []connect.ClientOption{
			connect.WithInterceptors(auth), connect.WithReadMaxBytes(MaxConfigBytes), connect.WithSendGzip(), connect.WithCompressMinBytes(1 << 10),
		},
	}}
}

// Push implements configsync.Transport.
func (c *ConfigClient) Push(ctx context.Context, to membership.VM, request *configsync.PushRequest) (*configsync.PushReply, error) {
	response, err := c.clients.get(to.Address).Push(ctx, encodePush(request))
	if err != nil {
		return nil, err
	}
	return &configsync.PushReply{Revision: store.Revision(response.GetRevision()), Missing: response.GetMissing()}, nil
}

// Pull implements configsync.Transport.
func (c *ConfigClient) Pull(ctx context.Context, to membership.VM, request *configsync.PullRequest) (*configsync.PullReply, error) {
	response, err := c.clients.get(to.Address).Pull(ctx, encodePull(request))
	if err != nil {
		return nil, err
	}
	return decodePullReply(response), nil
}

// NewConfigHandler returns the path and the HTTP handler of ConfigService.
func NewConfigHandler(handler ConfigHandler, auth *Auth) (string, http.Handler) {
	return figweirv1connect.NewConfigServiceHandler(configServer{handler},
		connect.WithInterceptors(auth), connect.WithReadMaxBytes(MaxConfigBytes), connect.WithCompressMinBytes(1<<10))
}

// configServer implements ConfigService with a handler.
type configServer struct{ handler ConfigHandler }

// Push implements figweirv1connect.ConfigServiceHandler.
func (s configServer) Push(ctx context.Context, message *figweirv1.PushConfigRequest) (*figweirv1.PushConfigResponse, error) {
	reply, err := s.handler.HandlePush(ctx, decodePush(message))
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return encodePushReply(reply), nil
}

// Pull implements figweirv1connect.ConfigServiceHandler.
func (s configServer) Pull(ctx context.Context, message *figweirv1.PullConfigRequest) (*figweirv1.PullConfigResponse, error) {
	reply, err := s.handler.HandlePull(ctx, decodePull(message))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return encodePullReply(reply), nil
}

func encodePush(r *configsync.PushRequest) *figweirv1.PushConfigRequest {
	return &figweirv1.PushConfigRequest{Revision: uint64(r.Revision), Author: r.Author, Parts: encodeParts(r.Parts)}
}

func decodePush(m *figweirv1.PushConfigRequest) *configsync.PushRequest {
	return &configsync.PushRequest{Revision: store.Revision(m.GetRevision()), Author: m.GetAuthor(), Parts: decodeParts(m.GetParts())}
}

func encodePushReply(r *configsync.PushReply) *figweirv1.PushConfigResponse {
	return &figweirv1.PushConfigResponse{Revision: uint64(r.Revision), Missing: r.Missing}
}

func encodePull(r *configsync.PullRequest) *figweirv1.PullConfigRequest {
	return &figweirv1.PullConfigRequest{KnownRevision: uint64(r.KnownRevision), KnownDigests: r.KnownDigests}
}

func decodePull(m *figweirv1.PullConfigRequest) *configsync.PullRequest {
	return &configsync.PullRequest{KnownRevision: store.Revision(m.GetKnownRevision()), KnownDigests: m.GetKnownDigests()}
}

func encodePullReply(r *configsync.PullReply) *figweirv1.PullConfigResponse {
	return &figweirv1.PullConfigResponse{Revision: uint64(r.Revision), Author: r.Author, Parts: encodeParts(r.Parts)}
}

func decodePullReply(m *figweirv1.PullConfigResponse) *configsync.PullReply {
	return &configsync.PullReply{Revision: store.Revision(m.GetRevision()), Author: m.GetAuthor(), Parts: decodeParts(m.GetParts())}
}

func encodeParts(parts []configsync.Part) []*figweirv1.ConfigPart {
	out := make([]*figweirv1.ConfigPart, len(parts))
	for i, p := range parts {
		out[i] = &figweirv1.ConfigPart{Name: p.Name, Digest: p.Digest, Value: p.Value}
	}
	return out
}

func decodeParts(messages []*figweirv1.ConfigPart) []configsync.Part {
	out := make([]configsync.Part, len(messages))
	for i, m := range messages {
		out[i] = configsync.Part{Name: m.GetName(), Digest: m.GetDigest(), Value: m.GetValue()}
	}
	return out
}
