package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/discovery"
	"github.com/figweir/figweir/standin/tcpproxy"
)

type fixedState struct{}

func (fixedState) State(int64) discovery.State {
	return discovery.State{Config: []byte("c"), Following: true}
}

// TestSilentConnectionToANodeIsReplaced guards against a node whose every question
// to another goes over a connection that has fallen silent, and fails.
func TestSilentConnectionToANodeIsReplaced(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.Handle(NewStateHandler(fixedState{}, NewAuth("")))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = Protocols()
	server.Start()
	t.Cleanup(server.Close)
	proxy, err := tcpproxy.New("127.0.0.1:0", server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(proxy.Close)
	httpClient := NewHTTPClient()
	t.Cleanup(httpClient.CloseIdleConnections)
	client := NewStateClient(httpClient, NewAuth(""))
	_, err = client.Pull(t.Context(), proxy.Address(), 0)
	is.NoErr(err)
	proxy.SilenceOpen()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = client.Pull(ctx, proxy.Address(), 0)
	is.True(err != nil) // nothing comes over the old connection
	s, err := client.Pull(t.Context(), proxy.Address(), 0)
	is.NoErr(err) // the next question goes over a new one
	is.Equal(string(s.Config), "c")
}
