package peer

import (
	"math"
	"time"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/ratelimit"
)

// EncodeRateLimit returns the message for m. Times are sent as ages, since nodes share no clock.
func EncodeRateLimit(now time.Time, m *ratelimit.Message) *figweirv1.RateLimitUpdate {
	u := &figweirv1.RateLimitUpdate{}
	switch {
	case m.Statement != nil:
		u.Stated = encodeStatedLimit(now, m.Statement)
	case m.Request != nil:
		u.Request = &figweirv1.PermitRequest{Id: m.Request.ID, Permits: uint32(max(0, m.Request.Permits)), Stated: encodeStatedLimit(now, &m.Request.Statement)}
	case m.Grant != nil:
		u.Grant = &figweirv1.PermitGrant{
			Id: m.Grant.ID, Permits: uint32(max(0, m.Grant.Permits)), WaitMs: positiveMillis(m.Grant.Wait), NotGranter: m.Grant.NotGranter,
			Stated: encodeStatedLimit(now, &m.Grant.Statement),
		}
	case m.Granted != nil:
		u.Granted = &figweirv1.GrantedPermits{
			Server: m.Granted.Server, Incarnation: m.Granted.Incarnation, Permits: uint32(max(0, m.Granted.Permits)), Total: m.Granted.Total,
		}
	}
	return u
}

// maxDecodedPermits bounds the number of permits in a message of another node.
const maxDecodedPermits = 1 << 10

// DecodeRateLimit returns the message that was received at the given time. It returns false if
// the message lacks a part or holds a limit that is not a finite number of at least 0.
func DecodeRateLimit(now time.Time, u *figweirv1.RateLimitUpdate) (m ratelimit.Message, ok bool) {
	switch {
	case u.GetStated() != nil:
		statement, ok := decodeStatedLimit(now, u.Stated)
		return ratelimit.Message{Statement: &statement}, ok
	case u.GetRequest() != nil:
		statement, ok := decodeStatedLimit(now, u.Request.Stated)
		return ratelimit.Message{Request: &ratelimit.PermitRequest{ID: u.Request.Id, Permits: decodePermits(u.Request.Permits), Statement: statement}}, ok
	case u.GetGrant() != nil:
		statement, ok := decodeStatedLimit(now, u.Grant.Stated)
		return ratelimit.Message{Grant: &ratelimit.Grant{
			ID: u.Grant.Id, Permits: decodePermits(u.Grant.Permits), Wait: time.Duration(u.Grant.WaitMs) * time.Millisecond,
			NotGranter: u.Grant.NotGranter, Statement: statement,
		}}, ok
	case u.GetGranted() != nil:
		g := u.Granted
		return ratelimit.Message{Granted: &ratelimit.Granted{Server: g.Server, Incarnation: g.Incarnation, Permits: decodePermits(g.Permits), Total: g.Total}}, true
	}
	return ratelimit.Message{}, false
}

func decodePermits(n uint32) int { return int(min(n, maxDecodedPermits)) }

func encodeStatedLimit(now time.Time, s *ratelimit.Statement) *figweirv1.StatedLimit {
	at := s.StatedAt
	if s.Lifted {
		at = s.LiftedAt
	}
	return &figweirv1.StatedLimit{Server: s.Server, Lifted: s.Lifted, PerSecond: s.PerSecond, AgeMs: positiveMillis(now.Sub(at))}
}

func decodeStatedLimit(now time.Time, m *figweirv1.StatedLimit) (ratelimit.Statement, bool) {
	if m == nil || m.PerSecond < 0 || math.IsNaN(m.PerSecond) || math.IsInf(m.PerSecond, 0) {
		return ratelimit.Statement{}, false
	}
	at := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	s := ratelimit.Statement{Server: m.Server, Lifted: m.Lifted, PerSecond: m.PerSecond}
	if m.Lifted {
		s.LiftedAt = at
	} else {
		s.StatedAt = at
	}
	return s, true
}
