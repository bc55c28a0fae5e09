package peer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/quota"
)

// TestQuotaMessagesKeepTheirMeaning guards against a part of a message that is lost on its way.
func TestQuotaMessagesKeepTheirMeaning(t *testing.T) {
	is := is.New(t)
	for _, sent := range []quota.Message{
		{Heartbeat: &quota.Heartbeat{}},
		{Heartbeat: &quota.Heartbeat{Ask: true}},
		{Heartbeat: &quota.Heartbeat{Answer: true}},
		{Heartbeat: &quota.Heartbeat{Leaving: true}},
		{Request: &quota.Request{ID: 3, Workspace: 7, Amount: 12040}},
		{Grant: &quota.Grant{ID: 3, Workspace: 7, Granted: true}},
		{Grant: &quota.Grant{ID: 3, Workspace: 7, Wait: 40 * time.Millisecond, NotGranter: true}},
		{Granted: &quota.Granted{Workspace: 7, Incarnation: 9, Amount: 2, Total: 12, Tokens: -1.5}},
		{Return: &quota.Return{ID: 3, Workspace: 7, Amount: 2}},
		{StateRequest: &quota.StateRequest{Workspace: 7}},
		{State: &quota.State{Workspace: 7, Tokens: 1.5, Sent: 80}},
	} {
		raw, err := proto.Marshal(EncodeQuota(&sent))
		is.NoErr(err)
		var u figweirv1.QuotaUpdate
		is.NoErr(proto.Unmarshal(raw, &u))
		m, ok := DecodeQuota(&u)
		is.True(ok)
		is.Equal(m, sent)
	}
}

// TestMalformedQuotaMessagesAreRejected guards against a message that blocks a workspace or lifts
// its quota: one without a part, or with a sum that is no finite number.
func TestMalformedQuotaMessagesAreRejected(t *testing.T) {
	is := is.New(t)
	bad := []*figweirv1.QuotaUpdate{nil, {}}
	for _, f := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		bad = append(bad, &figweirv1.QuotaUpdate{Granted: &figweirv1.QuotaGranted{Tokens: f}},
			&figweirv1.QuotaUpdate{State: &figweirv1.QuotaState{Tokens: f}}, &figweirv1.QuotaUpdate{State: &figweirv1.QuotaState{Sent: f}})
	}
	for _, u := range bad {
		_, ok := DecodeQuota(u)
		is.True(!ok)
	}
}
