package gateway

import (
	"time"

	"github.com/figweir/figweir/platform"
)

// gauges returns the values that the metrics endpoint prints besides the counters.
func (g *Gateway) gauges() map[string]float64 {
	pool := g.pool.Stats()
	token, held := g.duty.FencingToken()
	calls := &g.store.Calls
	inbound := g.inbound.Stats()
	gauges := map[string]float64{
		"config_version": float64(g.config.Version()), "config_following": boolGauge(g.config.Following()),
		"registrations_following": boolGauge(g.servers.Following()), "backend_servers": float64(len(g.registry.View().All())),
		"nodes": float64(g.nodes.Count()), "load_peers": float64(g.peerLoads.PeerCount()), "ready": boolGauge(g.ready.Load()),
		"store_reader": boolGauge(g.nodes.IsReader()), "registrations_via_reader": boolGauge(g.reads.ViaReader(platform.ServersPrefix)),
		"stopping": boolGauge(g.stopping.Load()), "requests_in_flight": float64(g.callerHandler.InFlight.Load()),
		"duty_held": boolGauge(held), "duty_fencing_token": float64(token), "duties_ended_by_era_total": float64(g.lease.DutiesEndedByEra()),
		"usage_windows_withheld_total": float64(g.reporter.Withheld.Load()),
		"store_era":                    float64(g.store.Eras.Current()), "store_era_age_ms": float64(g.store.Eras.Age().Milliseconds()),
		"node_registrations_total": float64(g.nodes.Registrations.Load()), "registrations_retained_total": float64(g.servers.RetainedOverRestores.Load()),
		"usage_seals_rewritten_total": float64(g.reporter.SealsRewritten.Load()),
		"connections_dialed_total":    float64(pool.Dials), "connections_dial_failures_total": float64(pool.DialFailures),
		"connections_reused_total": float64(pool.Reused), "connections_discarded_total": float64(pool.Discarded),
		"store_reads_total": float64(calls.Reads.Load()), "store_watches_total": float64(calls.Watches.Load()),
		"store_writes_total": float64(calls.Writes.Load()), "store_renewals_total": float64(calls.Renewals.Load()),
		"store_failures_total":    float64(calls.Failures.Load()),
		"load_updates_sent_total": float64(g.sharer.Sent.Load()), "load_updates_received_total": float64(g.sharer.Received.Load()),
		"quarantine_suspicions": float64(len(g.quarantine.tracker.Suspicions())), "quarantine_evidence": float64(g.quarantine.tracker.EvidenceCount()),
		"log_queue_dropped_total": float64(g.logWriter.Dropped()), "prefill_tokens_per_s": g.balancer.PrefillTokensPerSecond(),
	}
	gauges["inbound_bytes"], gauges["inbound_body_bytes"], gauges["inbound_unfinished_bytes"] = float64(inbound.UsedBytes), float64(inbound.BodyBytes), float64(inbound.UnfinishedBytes)
	gauges["caller_connections"], gauges["caller_connections_limit"] = float64(inbound.Connections), float64(inbound.MaxConnections)
	if age, ok := g.heartbeatStore.ResponseAge(); ok {
		gauges["store_answer_age_ms"] = float64(age.Milliseconds())
	}
	if age, ok := g.config.ResponseAge(); ok {
		gauges["config_answer_age_ms"] = float64(age.Milliseconds())
	}
	if age, ok := g.servers.ResponseAge(); ok {
		gauges["registrations_answer_age_ms"] = float64(age.Milliseconds())
	}
	gauges["own_load_spread"] = g.registry.View().OwnLoadSpread()
	if low, high, ok := g.registry.View().SlowdownRange(time.Now()); ok {
		gauges["server_slowdown_min"], gauges["server_slowdown_max"] = low, high
	}
	g.addQuotaGauges(gauges)
	return gauges
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
