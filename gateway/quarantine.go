package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/core"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/loadshare"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/quarantine"
	"github.com/figweir/figweir/quarantine/archive"
	"github.com/figweir/figweir/store"
)

// maxQuarantineBytes is the size of an update from which a second datagram is sent: what networks
// carry in one piece. A single suspicion may be larger.
const maxQuarantineBytes = 1200

// quarantineSharing exchanges the evidence and the suspicions of this node with the others.
type quarantineSharing struct {
	tracker *quarantine.Tracker
	// archive keeps the suspicions in the store.
	archive *archive.Archive
	// incarnation distinguishes these messages from load updates of this node.
	incarnation uint64
	// sequences holds the last sequence of each incarnation. Only the goroutine that
	// receives updates uses it.
	sequences map[uint64]uint64
}

func (g *Gateway) setUpQuarantine() {
	g.quarantine = &quarantineSharing{tracker: quarantine.NewTracker(rand.Uint64()), incarnation: rand.Uint64() | 1, sequences: make(map[uint64]uint64)}
	tracker := g.quarantine.tracker
	g.quarantine.archive = &archive.Archive{Tracker: tracker, Store: g.store, TrueTime: g.trueTime.At, Log: g.log}
	tracker.PermitTrial = g.quarantine.archive.PermitTrial
	tracker.OnChange = func(c quarantine.Change, source quarantine.Source, s quarantine.Suspicion) {
		g.observer.quarantineChanges.Add(string(c), 1)
		if c == quarantine.Crashed && source == quarantine.Peer {
			return // the node that noticed the crash logs it
		}
		g.log.Info("prompt parts "+string(c), append([]any{"source", string(source)}, suspicionFields(time.Now(), &s, g.serverNames(s.Servers))...)...)
	}
}

// suspicionFields returns the log fields of a suspicion.
func suspicionFields(now time.Time, s *quarantine.Suspicion, servers []string) []any {
	return []any{
		"shared_parts", strings.Join(s.Parts, ","), "since_ms", now.Sub(s.Since).Milliseconds(), "crashes", s.Crashes,
		"held_ms", max(0, s.HeldUntil.Sub(now).Milliseconds()), "failed_trials", s.Trials, "blocked", s.Blocked, "crashed_servers", strings.Join(servers, ","),
	}
}

// serverNames returns the ids of the servers with the given hashes, as far as they are
// registered.
func (g *Gateway) serverNames(hashes []uint64) []string {
	names := make([]string, 0, len(hashes))
	for _, hash := range hashes {
		if s := g.registry.View().ByHash(hash); s != nil {
			names = append(names, s.ID)
		}
	}
	return names
}

// runQuarantine judges the evidence, sends what other nodes have to know and keeps the suspicions in the
// store, until ctx ends.
func (g *Gateway) runQuarantine(ctx context.Context, conn net.PacketConn) {
	g.quarantine.tracker.Run(ctx, func(now time.Time) {
		announcesAll := g.nodes.IsFirstOfFailureDomain()
		g.quarantine.archive.Step(now, announcesAll)
		u := g.quarantine.tracker.DueUpdate(now, announcesAll)
		if u.Empty() {
			return
		}
		recipients := g.nodes.LoadAddresses()
		for _, m := range g.quarantine.messages(now, u) {
			g.sharer.Send(conn, loadshare.Message{Update: m, Recipients: recipients})
		}
	})
}

// loadQuarantine reads the suspicions from the store, again each time it came back from a copy.
func (g *Gateway) loadQuarantine(ctx context.Context) {
	g.store.Eras.OnChange(func(store.Era) { g.quarantine.archive.StoreRestored(ctx) })
	g.quarantine.archive.Load(ctx)
}

// messages divides an update into messages that fit into a datagram.
func (q *quarantineSharing) messages(now time.Time, u quarantine.Update) []*figweirv1.LoadUpdate {
	var list []*figweirv1.LoadUpdate
	for _, part := range u.Split(maxQuarantineBytes) {
		list = append(list, &figweirv1.LoadUpdate{
			Scope: figweirv1.Scope_SCOPE_QUARANTINE, Incarnation: q.incarnation, Quarantine: peer.EncodeQuarantine(now, &part),
		})
	}
	return list
}

// receive applies a message of another node, unless it is repeated or later ones have
// arrived: ages in it would be wrong.
func (q *quarantineSharing) receive(now time.Time, u *figweirv1.LoadUpdate) {
	if len(q.sequences) > maxIncarnations {
		clear(q.sequences)
	}
	if u.Sequence <= q.sequences[u.Incarnation] {
		return
	}
	q.sequences[u.Incarnation] = u.Sequence
	q.tracker.Apply(now, peer.DecodeQuarantine(now, u.Quarantine))
}

// ServerCrashed implements core.Observer.
func (o *observer) ServerCrashed(r *core.Record, server *backends.Server) {
	o.attempts.Add("server_crashed", 1)
	o.log.Info("server crashed before its answer", "request", r.Request.ID, "backend_server", server.ID, "failure_domain", server.FailureDomain,
		"shared_parts", strings.Join(r.Request.Prompt.SharedPartIDs(), ","))
}

// listSuspicions answers an operator with all suspicions.
func (g *Gateway) listSuspicions(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	list := []quarantine.Report{}
	for _, s := range g.quarantine.tracker.Suspicions() {
		list = append(list, quarantine.NewReport(now, &s, g.serverNames(s.Servers)))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		g.log.V(1).Info("cannot write the list of suspicions", "cause", err.Error())
	}
}

// liftSuspicion lifts all suspicions with the part in the path, on all nodes. It answers 404
// if there is none.
func (g *Gateway) liftSuspicion(w http.ResponseWriter, r *http.Request) {
	part := chi.URLParam(r, "part")
	if !g.quarantine.tracker.Lift(time.Now(), part) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
