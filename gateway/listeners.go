package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/upstream"
)

// callerRoutes passes all requests to the handler for callers.
func (g *Gateway) callerRoutes() http.Handler {
	r := chi.NewRouter()
	r.Handle("/*", g.callerHandler)
	r.NotFound(g.callerHandler.ServeHTTP)
	r.MethodNotAllowed(g.callerHandler.ServeHTTP)
	return r
}

// readyRoutes serves the readiness probe: status 200 while the node is ready and not
// stopping, otherwise 503.
func (g *Gateway) readyRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready.Load() || g.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}

// peerRoutes serves RPCs of other nodes.
func (g *Gateway) peerRoutes() http.Handler {
	r := chi.NewRouter()
	path, handler := peer.NewStateHandler(g.relay, peer.NewAuth(""))
	r.Mount(path, handler)
	mirrorPath, mirrorHandler := peer.NewMirrorHandler(g.reads, peer.NewAuth(""))
	r.Mount(mirrorPath, mirrorHandler)
	burnPath, burnHandler := peer.NewBurnServiceHandler(g.observer.burn.recorder)
	r.Mount(burnPath, burnHandler)
	return r
}

// adminRoutes serves metrics, the burn report, the suspected prompt parts, the rate limits, and
// explanations of choices.
func (g *Gateway) adminRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", g.observer.serveMetrics)
	r.Get("/burn", g.observer.burn.serve)
	r.Get("/quarantine", g.listSuspicions)
	r.Get("/limits", g.listLimits)
	r.Get("/quotas", g.listQuotas)
	r.Get("/explain", g.explainChoice)
	r.Delete("/quarantine/{part}", g.liftSuspicion)
	return r
}

// listen opens a TCP listener whose connections detect an unresponsive client and count in the account
// of what clients send.
func (g *Gateway) listen(address, name string, protocol inbound.Protocol) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerKeepAlive, Interval: callerKeepAlive, Count: 2},
		Control:         upstream.TCPUserTimeout(upstream.DefaultOptions.UserTimeout),
	}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return inbound.NewListener(l, g.inbound, name, protocol), nil
}

// peerStreams is how many calls of one connection of a peer run at the same time. A node has one open
// watch for each prefix of the store, and single calls besides.
const peerStreams = 16

// callerKeepAlive is the interval of TCP keep-alive probes to clients.
const callerKeepAlive = 5 * time.Second
