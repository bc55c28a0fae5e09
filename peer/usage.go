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

// maxUsageClients bounds the clients that are kept. It is about twice the
// number of nodes of the largest deployment (490), so that replaced nodes are
// forgotten now and then.
const maxUsageClients = 1024

// compressMinBytes is the size below which gzip makes a message longer.
const compressMinBytes = 512

// UsageHandler serves UsageService from a ledger.
type UsageHandler struct {
	ledger *usage.Ledger
}

var _ figweirv1connect.UsageServiceHandler = (*UsageHandler)(nil)

// NewUsageHandler returns a handler that stores to and reads from ledger.
func NewUsageHandler(ledger *usage.Ledger) *UsageHandler { return &UsageHandler{ledger: ledger} }

// NewUsageServiceHandler returns the path and the HTTP handler of UsageService on
// a ledger.
func NewUsageServiceHandler(ledger *usage.Ledger, options ...connect.HandlerOption) (string, http.Handler) {
	options = append([]connect.HandlerOption{connect.WithCompressMinBytes(compressMinBytes)}, options...)
	return figweirv1connect.NewUsageServiceHandler(NewUsageHandler(ledger), options...)
}

// Mirror implements UsageService. A full ledger answers resource_exhausted, and
// the sender must not count on any of its totals.
func (h *UsageHandler) Mirror(_ context.Context, req *figweirv1.MirrorUsageRequest) (*figweirv1.MirrorUsageResponse, error) {
	totals := totalsFromProto(req.GetTotals())
	for _, t := range totals {
		if t.Incarnation == "" || t.Workspace == "" || t.Window <= 0 {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("a usage total needs an incarnation, a workspace and a window"))
		}
	}
	if err := h.ledger.Mirror(totals); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return &figweirv1.MirrorUsageResponse{Incarnation: h.ledger.Incarnation()}, nil
}

// Collect implements UsageService.
func (h *UsageHandler) Collect(_ context.Context, req *figweirv1.CollectUsageRequest) (*figweirv1.CollectUsageResponse, error) {
	if req.GetShard() >= req.GetShards() {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("shard must be less than shards"))
	}
	response := h.ledger.Collect(usage.CollectRequest{
		Window: req.GetWindow(), Shard: req.GetShard(), Shards: req.GetShards(), Incarnation: req.GetIncarnation(),
		AfterWindow: req.GetAfterWindow(), AfterVersion: req.GetAfterVersion(),
		SealedWindow: req.GetSealedWindow(), SealedVersion: req.GetSealedVersion(),
	})
	return &figweirv1.CollectUsageResponse{
		Incarnation: response.Incarnation, Version: response.Version, Totals: totalsToProto(response.Totals),
	}, nil
}

// UsageClient sends mirror and collect calls to other nodes.
type UsageClient struct {
	http    connect.HTTPClient
	baseURL func(usage.Peer) string
	options []connect.ClientOption

	mu      sync.Mutex
	clients map[string]figweirv1connect.UsageServiceClient
}

var (
	_ usage.MirrorTransport  = (*UsageClient)(nil)
	_ usage.CollectTransport = (*UsageClient)(nil)
)

// NewUsageClient returns a client that finds the address of a peer by baseURL,
// which must give the same result for the same peer id. Large messages are
// compressed.
func NewUsageClient(httpClient connect.HTTPClient, baseURL func(usage.Peer) string, options ...connect.ClientOption) *UsageClient {
	options = append([]connect.ClientOption{connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes)}, options...)
	return &UsageClient{
		http: httpClient, baseURL: baseURL, options: options,
		clients: make(map[string]figweirv1connect.UsageServiceClient),
	}
}

func (c *UsageClient) client(p usage.Peer) figweirv1connect.UsageServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[p.ID]
	if !ok {
		if len(c.clients) >= maxUsageClients {
			clear(c.clients)
		}
		client = figweirv1connect.NewUsageServiceClient(c.http, c.baseURL(p), c.options...)
		c.clients[p.ID] = client
	}
	return client
}

// Mirror implements usage.MirrorTransport.
func (c *UsageClient) Mirror(ctx context.Context, p usage.Peer, totals []usage.Total) (string, error) {
	response, err := c.client(p).Mirror(ctx, &figweirv1.MirrorUsageRequest{Totals: totalsToProto(totals)})
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
		Incarnation: response.GetIncarnation(), Version: response.GetVersion(), Totals: totalsFromProto(response.GetTotals()),
	}, nil
}

func totalsToProto(totals []usage.Total) []*figweirv1.UsageTotal {
	out := make([]*figweirv1.UsageTotal, len(totals))
	for i, t := range totals {
		out[i] = &figweirv1.UsageTotal{
			Incarnation: t.Incarnation, Workspace: t.Workspace, Window: t.Window,
			Calls: t.Calls, PromptTokens: t.PromptTokens, OutputTokens: t.OutputTokens,
		}
	}
	return out
}

func totalsFromProto(totals []*figweirv1.UsageTotal) []usage.Total {
	out := make([]usage.Total, len(totals))
	for i, t := range totals {
		out[i] = usage.Total{
			Incarnation: t.GetIncarnation(), Workspace: t.GetWorkspace(), Window: t.GetWindow(),
			Figures: usage.Figures{Calls: t.GetCalls(), PromptTokens: t.GetPromptTokens(), OutputTokens: t.GetOutputTokens()},
		}
	}
	return out
}
