package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/figweir/figweir/discovery"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
	"github.com/figweir/figweir/store"
)

// MirrorSource answers the lists and watches of other nodes. discovery.SharedReads
// implements it and documents the errors.
type MirrorSource interface {
	ListMirrored(prefix string, minRevision store.Revision) ([]store.Entry, store.Revision, error)
	WatchMirrored(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error)
}

// MirrorClient implements discovery.MirrorClient. Its methods return the errors that
// interface documents, and other errors if a call fails.
type MirrorClient struct {
	clients clientCache[figweirv1connect.MirrorServiceClient]
}

var _ discovery.MirrorClient = (*MirrorClient)(nil)

// NewMirrorClient returns a client that authenticates with auth.
func NewMirrorClient(httpClient connect.HTTPClient, auth *Auth) *MirrorClient {
	return &MirrorClient{clientCache[figweirv1connect.MirrorServiceClient]{
		make: figweirv1connect.NewMirrorServiceClient, httpClient: httpClient,
		options: []connect.ClientOption{connect.WithInterceptors(auth), connect.WithReadMaxBytes(MaxConfigBytes)},
	}}
}

// ListMirror implements discovery.MirrorClient.
func (c *MirrorClient) ListMirror(ctx context.Context, address, prefix string, minRevision store.Revision) ([]store.Entry, store.Revision, error) {
	r, err := c.clients.get(address).List(ctx, &figweirv1.ListMirrorRequest{Prefix: prefix, MinRevision: uint64(minRevision)})
	if err != nil {
		return nil, 0, mirrorError(err)
	}
	entries := make([]store.Entry, 0, len(r.GetEntries()))
	for _, e := range r.GetEntries() {
		entries = append(entries, storeEntry(e))
	}
	return entries, store.Revision(r.GetRevision()), nil
}

// WatchMirror implements discovery.MirrorClient.
func (c *MirrorClient) WatchMirror(ctx context.Context, address, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	r, err := c.clients.get(address).Watch(ctx, &figweirv1.WatchMirrorRequest{Prefix: prefix, After: uint64(after), WaitMs: wait.Milliseconds()})
	if err != nil {
		return nil, 0, mirrorError(err)
	}
	events := make([]store.Event, 0, len(r.GetChanges()))
	for _, e := range r.GetChanges() {
		events = append(events, store.Event{Entry: storeEntry(e), Deleted: e.GetDeleted()})
	}
	return events, store.Revision(r.GetRevision()), nil
}

// mirrorError converts the error codes of MirrorService to the errors of
// discovery.MirrorClient.
func mirrorError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeOutOfRange:
		return store.ErrCompacted
	case connect.CodeFailedPrecondition:
		return discovery.ErrMirrorStale
	}
	return err
}

func storeEntry(e *figweirv1.MirrorEntry) store.Entry {
	return store.Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: store.Revision(e.GetRevision()),
		Lease: store.LeaseID{Era: store.Era(e.GetLeaseEra()), Number: e.GetLeaseNumber()}}
}

func mirrorEntry(e store.Entry, deleted bool) *figweirv1.MirrorEntry {
	return &figweirv1.MirrorEntry{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Deleted: deleted,
		LeaseEra: uint64(e.Lease.Era), LeaseNumber: e.Lease.Number}
}

// NewMirrorHandler returns the path and the HTTP handler of MirrorService.
func NewMirrorHandler(source MirrorSource, auth *Auth) (string, http.Handler) {
	return figweirv1connect.NewMirrorServiceHandler(mirrorServer{source}, connect.WithInterceptors(auth), connect.WithReadMaxBytes(maxQueryBytes))
}

// mirrorServer implements MirrorService with a source.
type mirrorServer struct{ source MirrorSource }

// List implements figweirv1connect.MirrorServiceHandler.
func (s mirrorServer) List(_ context.Context, request *figweirv1.ListMirrorRequest) (*figweirv1.ListMirrorResponse, error) {
	entries, at, err := s.source.ListMirrored(request.GetPrefix(), store.Revision(request.GetMinRevision()))
	if err != nil {
		return nil, mirrorCode(err)
	}
	r := &figweirv1.ListMirrorResponse{Revision: uint64(at)}
	for _, e := range entries {
		r.Entries = append(r.Entries, mirrorEntry(e, false))
	}
	return r, nil
}

// Watch implements figweirv1connect.MirrorServiceHandler.
func (s mirrorServer) Watch(ctx context.Context, request *figweirv1.WatchMirrorRequest) (*figweirv1.WatchMirrorResponse, error) {
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	events, at, err := s.source.WatchMirrored(ctx, request.GetPrefix(), store.Revision(request.GetAfter()), wait)
	if err != nil {
		return nil, mirrorCode(err)
	}
	r := &figweirv1.WatchMirrorResponse{Revision: uint64(at)}
	for _, e := range events {
		r.Changes = append(r.Changes, mirrorEntry(e.Entry, e.Deleted))
	}
	return r, nil
}

// mirrorCode adds the error code of MirrorService to an error of a MirrorSource.
func mirrorCode(err error) error {
	switch {
	case errors.Is(err, store.ErrCompacted):
		return connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, discovery.ErrMirrorStale):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
