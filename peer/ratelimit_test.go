package peer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/ratelimit"
)

// TestRateLimitMessagesKeepTheirMeaning guards against a part of a message that is lost on its
// way, and against times that are taken from another node's clock.
func TestRateLimitMessagesKeepTheirMeaning(t *testing.T) {
	is := is.New(t)
	sent := time.Unix(1000, 0)
	received := time.Unix(5000, 0)
	const age = 1500 * time.Millisecond
	stated := ratelimit.Statement{Server: 7, PerSecond: 1.5, StatedAt: sent.Add(-age)}
	lifted := ratelimit.Statement{Server: 7, Lifted: true, LiftedAt: sent.Add(-age)}
	statedThere := ratelimit.Statement{Server: 7, PerSecond: 1.5, StatedAt: received.Add(-age)}
	liftedThere := ratelimit.Statement{Server: 7, Lifted: true, LiftedAt: received.Add(-age)}
	for _, c := range []struct{ sent, want ratelimit.Message }{
		{ratelimit.Message{Statement: &stated}, ratelimit.Message{Statement: &statedThere}},
		{ratelimit.Message{Statement: &lifted}, ratelimit.Message{Statement: &liftedThere}},
		{
			ratelimit.Message{Request: &ratelimit.PermitRequest{ID: 3, Permits: 2, Statement: stated}},
			ratelimit.Message{Request: &ratelimit.PermitRequest{ID: 3, Permits: 2, Statement: statedThere}},
		},
		{
			ratelimit.Message{Grant: &ratelimit.Grant{ID: 3, Permits: 2, Wait: 40 * time.Millisecond, NotGranter: true, Statement: lifted}},
			ratelimit.Message{Grant: &ratelimit.Grant{ID: 3, Permits: 2, Wait: 40 * time.Millisecond, NotGranter: true, Statement: liftedThere}},
		},
		{
			ratelimit.Message{Granted: &ratelimit.Granted{Server: 7, Incarnation: 9, Permits: 1, Total: 12}},
			ratelimit.Message{Granted: &ratelimit.Granted{Server: 7, Incarnation: 9, Permits: 1, Total: 12}},
		},
	} {
		raw, err := proto.Marshal(EncodeRateLimit(sent, &c.sent))
		is.NoErr(err)
		var u figweirv1.RateLimitUpdate
		is.NoErr(proto.Unmarshal(raw, &u))
		m, ok := DecodeRateLimit(received, &u)
		is.True(ok)
		is.Equal(m, c.want)
	}
}

// TestMalformedRateLimitMessagesAreRejected guards against a message that stops a node or blocks
// a server: one without its parts, or with a limit that is no finite number of at least 0.
func TestMalformedRateLimitMessagesAreRejected(t *testing.T) {
	is := is.New(t)
	bad := []*figweirv1.RateLimitUpdate{
		nil, {}, {Request: &figweirv1.PermitRequest{Id: 1}}, {Grant: &figweirv1.PermitGrant{Id: 1}},
	}
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1)} {
		bad = append(bad, &figweirv1.RateLimitUpdate{Stated: &figweirv1.StatedLimit{Server: 1, PerSecond: perSecond}})
	}
	for _, u := range bad {
		_, ok := DecodeRateLimit(time.Now(), u)
		is.True(!ok)
	}
	m, ok := DecodeRateLimit(time.Now(), &figweirv1.RateLimitUpdate{Request: &figweirv1.PermitRequest{Permits: math.MaxUint32, Stated: &figweirv1.StatedLimit{}}})
	is.True(ok)
	is.True(m.Request.Permits <= maxDecodedPermits)
}
