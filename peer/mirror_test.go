package peer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/discovery"
	"github.com/figweir/figweir/store"
)

// fixedMirror is a MirrorSource with two entries, one of them deleted later.
type fixedMirror struct{ err error }

func (m fixedMirror) ListMirrored(string, store.Revision) ([]store.Entry, store.Revision, error) {
	return []store.Entry{{Key: "p/a", Value: []byte("v"), Revision: 4}}, 6, m.err
}

func (m fixedMirror) WatchMirrored(_ context.Context, prefix string, after store.Revision, _ time.Duration) ([]store.Event, store.Revision, error) {
	return []store.Event{{Entry: store.Entry{Key: prefix + "a", Revision: after + 1}, Deleted: true}}, after + 2, m.err
}

func mirrorClient(t *testing.T, source MirrorSource) (client *MirrorClient, address string) {
	mux := http.NewServeMux()
	mux.Handle(NewMirrorHandler(source, NewAuth("")))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = Protocols()
	server.Start()
	t.Cleanup(server.Close)
	httpClient := NewHTTPClient()
	t.Cleanup(httpClient.CloseIdleConnections)
	return NewMirrorClient(httpClient, NewAuth("")), server.Listener.Addr().String()
}

// TestMirrorCallsCarryChanges guards against entries, deletions or revisions that are
// lost or changed between two nodes.
func TestMirrorCallsCarryChanges(t *testing.T) {
	is := is.New(t)
	client, address := mirrorClient(t, fixedMirror{})
	entries, at, err := client.ListMirror(t.Context(), address, "p/", 0)
	is.NoErr(err)
	is.Equal(entries, []store.Entry{{Key: "p/a", Value: []byte("v"), Revision: 4}})
	is.Equal(at, store.Revision(6))
	events, at, err := client.WatchMirror(t.Context(), address, "p/", 6, time.Second)
	is.NoErr(err)
	is.Equal(events, []store.Event{{Entry: store.Entry{Key: "p/a", Revision: 7}, Deleted: true}})
	is.Equal(at, store.Revision(8))
}

// TestMirrorErrorsAreDistinguished guards against a node that continues after a gap in
// the changes, or that lists again because a reader has lost the store.
func TestMirrorErrorsAreDistinguished(t *testing.T) {
	is := is.New(t)
	client, address := mirrorClient(t, fixedMirror{err: store.ErrCompacted})
	_, _, err := client.WatchMirror(t.Context(), address, "p/", 6, 0)
	is.True(errors.Is(err, store.ErrCompacted))
	client, address = mirrorClient(t, fixedMirror{err: discovery.ErrMirrorStale})
	_, _, err = client.WatchMirror(t.Context(), address, "p/", 6, 0)
	is.True(errors.Is(err, discovery.ErrMirrorStale))
	_, _, err = client.ListMirror(t.Context(), "127.0.0.1:1", "p/", 6) // no listener
	is.True(err != nil && !errors.Is(err, discovery.ErrMirrorStale) && !errors.Is(err, store.ErrCompacted))
}
