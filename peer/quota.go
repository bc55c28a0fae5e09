package peer

import (
	"math"
	"time"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/quota"
)

// EncodeQuota returns the message for m.
func EncodeQuota(m *quota.Message) *figweirv1.QuotaUpdate {
	u := &figweirv1.QuotaUpdate{}
	switch {
	case m.Heartbeat != nil:
		u.Heartbeat = &figweirv1.QuotaHeartbeat{Ask: m.Heartbeat.Ask, Answer: m.Heartbeat.Answer, Leaving: m.Heartbeat.Leaving}
	case m.Request != nil:
		u.Request = &figweirv1.QuotaRequest{Id: m.Request.ID, Workspace: m.Request.Workspace, Amount: m.Request.Amount}
	case m.Grant != nil:
		g := m.Grant
		u.Grant = &figweirv1.QuotaGrant{Id: g.ID, Workspace: g.Workspace, Granted: g.Granted, WaitMs: positiveMillis(g.Wait), NotGranter: g.NotGranter}
	case m.Granted != nil:
		g := m.Granted
		u.Granted = &figweirv1.QuotaGranted{Workspace: g.Workspace, Incarnation: g.Incarnation, Amount: g.Amount, Total: g.Total, Tokens: g.Tokens}
	case m.Return != nil:
		u.Returned = &figweirv1.QuotaReturn{Id: m.Return.ID, Workspace: m.Return.Workspace, Amount: m.Return.Amount}
	case m.StateRequest != nil:
		u.StateRequest = &figweirv1.QuotaStateRequest{Workspace: m.StateRequest.Workspace}
	case m.State != nil:
		u.State = &figweirv1.QuotaState{Workspace: m.State.Workspace, Tokens: m.State.Tokens, Sent: m.State.Sent}
	}
	return u
}

// DecodeQuota returns the message that u holds. It returns false if u is empty or has a number of tokens
// that is not finite.
func DecodeQuota(u *figweirv1.QuotaUpdate) (m quota.Message, ok bool) {
	switch {
	case u.GetHeartbeat() != nil:
		return quota.Message{Heartbeat: &quota.Heartbeat{Ask: u.Heartbeat.Ask, Answer: u.Heartbeat.Answer, Leaving: u.Heartbeat.Leaving}}, true
	case u.GetRequest() != nil:
		return quota.Message{Request: &quota.Request{ID: u.Request.Id, Workspace: u.Request.Workspace, Amount: u.Request.Amount}}, true
	case u.GetGrant() != nil:
		g := u.Grant
		wait := time.Duration(g.WaitMs) * time.Millisecond
		return quota.Message{Grant: &quota.Grant{ID: g.Id, Workspace: g.Workspace, Granted: g.Granted, Wait: wait, NotGranter: g.NotGranter}}, true
	case u.GetGranted() != nil:
		g := u.Granted
		return quota.Message{Granted: &quota.Granted{
			Workspace: g.Workspace, Incarnation: g.Incarnation, Amount: g.Amount, Total: g.Total, Tokens: g.Tokens,
		}}, isFinite(g.Tokens)
	case u.GetReturned() != nil:
		return quota.Message{Return: &quota.Return{ID: u.Returned.Id, Workspace: u.Returned.Workspace, Amount: u.Returned.Amount}}, true
	case u.GetStateRequest() != nil:
		return quota.Message{StateRequest: &quota.StateRequest{Workspace: u.StateRequest.Workspace}}, true
	case u.GetState() != nil:
		s := u.State
		return quota.Message{State: &quota.State{Workspace: s.Workspace, Tokens: s.Tokens, Sent: s.Sent}}, isFinite(s.Tokens) && isFinite(s.Sent)
	}
	return quota.Message{}, false
}

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
