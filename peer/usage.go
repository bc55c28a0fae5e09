package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
	"github.com/figweir/figweir/usage"
)

// maxUsageClients limits the cached clients. All are dropped when the limit is
// reached, which removes those of replaced nodes. It is about twice the number of
// nodes of the largest deployment (490).
const maxUsageClients = 1024

// compressMinBytes is the size below which gzip would make a message longer.
const compressMinBytes = 512

// UsageServer implements UsageService with a ledger.
type UsageServer struct {
	ledger *usage.Ledger
}

var _ figweirv1connect.UsageServiceHandler = (*UsageServer)(nil)

// NewUsageServer returns a handler that writes to and reads from ledger.
func NewUsageServer(ledger *usage.Ledger) *UsageServer { return &UsageServer{ledger: ledger} }

// NewUsageServiceHandler returns the path and the HTTP handler of UsageService
// for a ledger.
func NewUsageServiceHandler(ledger *usage.Ledger, options ...connect.HandlerOption) (string, http.Handler) {
	options = append([]connect.HandlerOption{connect.WithCompressMinBytes(compressMinBytes)}, options...)
	return figweirv1connect.NewUsageServiceHandler(NewUsageServer(ledger), options...)
}

// Mirror implements figweirv1connect.UsageServiceHandler. If the ledger is full,
// the error code is resource_exhausted, and the sender must not rely on any of
// the totals being stored.
func (s *UsageServer) Mirror(_ context.Context, req *figweirv1.MirrorUsageRequest) (*figweirv1.MirrorUsageResponse, error) {
	totals := decodeTotals(req.GetTotals())
	for _, t := range totals {
		if t.Incarnation == "" || t.Workspace == "" || t.Window <= 0 {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("a usage total needs an incarnation, a workspace and a window"))
		}
	}
	if err := s.ledger.Merge(totals); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return &figweirv1.MirrorUsageResponse{Incarnation: s.ledger.Incarnation()}, nil
}

// Collect implements figweirv1connect.UsageServiceHandler. The error code is
// invalid_argument if the shard does not exist.
func (s *UsageServer) Collect(_ context.Context, req *figweirv1.CollectUsageRequest) (*figweirv1.CollectUsageResponse, error) {
	if req.GetShard() >= req.GetShards() {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("shard must be less than shards"))
	}
	response := s.ledger.Collect(usage.CollectRequest{
		Window: req.GetWindow(), Shard: req.GetShard(), Shards: req.GetShards(), Incarnation: req.GetIncarnation(),
		AfterWindow: req.GetAfterWindow(), AfterVersion: req.GetAfterVersion(),
		SealedWindow: req.GetSealedWindow(), SealedVersion: req.GetSealedVersion(),
	})
	return &figweirv1.CollectUsageResponse{
		Incarnation: response.Incarnation, Version: response.Version, Totals: encodeTotals(response.Totals),
	}, nil
}

// UsageClient sends mirror and collect calls to other nodes.
type UsageClient struct {
	httpClient connect.HTTPClient
	baseURL    func(usage.Peer) string
	options    []connect.ClientOption

	mu      sync.Mutex
	clients map[string]figweirv1connect.UsageServiceClient
}

var (
	_ usage.MirrorTransport  = (*UsageClient)(nil)
	_ usage.CollectTransport = (*UsageClient)(nil)
)

// NewUsageClient returns a client that calls baseURL for the URL of a peer. The
// function must return the same URL for the same peer ID. Messages of at least
// 512 bytes are compressed.
func NewUsageClient(httpClient connect.HTTPClient, baseURL func(usage.Peer) string, options ...connect.ClientOption) *UsageClient {
	options = append([]connect.ClientOption{connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes)}, options...)
	return &UsageClient{
		httpClient: httpClient, baseURL: baseURL, options: options,
		clients: make(map[string]figweirv1connect.UsageServiceClient),
	}
}

// client returns the cached client for a peer.
func (c *UsageClient) client(p usage.Peer) figweirv1connect.UsageServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[p.ID]
	if !ok {
		if len(c.clients) >= maxUsageClients {
			clear(c.clients)
		}
		client = figweirv1connect.NewUsageServiceClient(c.httpClient, c.baseURL(p), c.options...)
		c.clients[p.ID] = client
	}
	return client
}

// Mirror implements usage.MirrorTransport. It returns the incarnation of the
// peer.
func (c *UsageClient) Mirror(ctx context.Context, p usage.Peer, totals []usage.Total) (string, error) {
	response, err := c.client(p).Mirror(ctx, &figweirv1.MirrorUsageRequest{Totals: encodeTotals(totals)})
	return response.GetIncarnation(), err
}

// Collect implements usage.CollectTransport.
func (c *UsageClient) Collect(ctx context.Context, p usage.Peer, req usage.CollectRequest) (usage.CollectResponse, error) {
	response, err := c.client(p).Collect(ctx, &figweirv1.CollectUsageRequest{
		Window: req.Window, Shard: req.Shard, Shards: req.Shards, Incarnation: req.Incarnation,
		AfterWindow: req.AfterWindow, AfterVersion: req.AfterVersion,
		SealedWindow: req.SealedWindow, SealedVersion: req.SealedVersion,
	})
	if err != nil {
		return usage.CollectResponse{}, err
	}
	return usage.CollectResponse{
		Incarnation: response.GetIncarnation(), Version: response.GetVersion(), Totals: decodeTotals(response.GetTotals()),
	}, nil
}

func encodeTotals(totals []usage.Total) []*figweirv1.UsageTotal {
	out := make([]*figweirv1.UsageTotal, len(totals))
	for i, t := range totals {
		out[i] = &figweirv1.UsageTotal{
			Incarnation: t.Incarnation, Workspace: t.Workspace, Window: t.Window,
			Calls: t.Calls, PromptTokens: t.PromptTokens, OutputTokens: t.OutputTokens,
		}
	}
	return out
}

func decodeTotals(totals []*figweirv1.UsageTotal) []usage.Total {
	out := make([]usage.Total, len(totals))
	for i, t := range totals {
		out[i] = usage.Total{
			Incarnation: t.GetIncarnation(), Workspace: t.GetWorkspace(), Window: t.GetWindow(),
			Figures: usage.Figures{Calls: t.GetCalls(), PromptTokens: t.GetPromptTokens(), OutputTokens: t.GetOutputTokens()},
		}
	}
	return out
}
