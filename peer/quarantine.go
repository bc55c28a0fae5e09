package peer

import (
	"math"
	"time"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/quarantine"
)

// EncodeQuarantine returns the message for an update. Times are sent as ages and remaining
// times, since nodes share no clock.
func EncodeQuarantine(now time.Time, u *quarantine.Update) *figweirv1.QuarantineUpdate {
	m := &figweirv1.QuarantineUpdate{}
	for _, e := range u.Evidence {
		m.Lost = append(m.Lost, &figweirv1.LostRequest{
			Request: e.Request, Server: e.Server, Parts: e.Parts, PartCount: uint32(e.PartCount), AgeMs: positiveMillis(now.Sub(e.At)),
		})
	}
	for _, c := range u.Clearances {
		m.Cleared = append(m.Cleared, &figweirv1.ClearedPart{Part: c.Part, AgeMs: positiveMillis(now.Sub(c.At))})
	}
	for _, s := range u.Suspicions {
		m.Suspected = append(m.Suspected, &figweirv1.SuspectedParts{
			Parts: s.Parts, SinceAgeMs: positiveMillis(now.Sub(s.Since)), LastCrashAgeMs: positiveMillis(now.Sub(s.LastCrash)),
			HeldMs: positiveMillis(s.HeldUntil.Sub(now)), Trials: uint32(s.Trials), TrialMs: positiveMillis(s.TrialUntil.Sub(now)),
			Crashes: uint32(s.Crashes), Servers: s.Servers, Started: uint32(s.Started), Stored: s.Stored,
		})
	}
	return m
}

// DecodeQuarantine returns the update in a message that was received at the given time; m may
// be nil.
func DecodeQuarantine(now time.Time, m *figweirv1.QuarantineUpdate) quarantine.Update {
	var u quarantine.Update
	for _, e := range m.GetLost() {
		u.Evidence = append(u.Evidence, quarantine.Evidence{
			Request: e.Request, Server: e.Server, Parts: e.Parts, PartCount: int(min(e.PartCount, math.MaxInt32)), At: now.Add(-millis(e.AgeMs)),
		})
	}
	for _, c := range m.GetCleared() {
		u.Clearances = append(u.Clearances, quarantine.Clearance{Part: c.Part, At: now.Add(-millis(c.AgeMs))})
	}
	for _, s := range m.GetSuspected() {
		decoded := quarantine.Suspicion{
			Parts: s.Parts, Since: now.Add(-millis(s.SinceAgeMs)), LastCrash: now.Add(-millis(s.LastCrashAgeMs)),
			HeldUntil: now.Add(millis(s.HeldMs)), Trials: int(min(s.Trials, math.MaxInt32)), Crashes: int(min(s.Crashes, math.MaxInt32)),
			Servers: s.Servers, Started: int(min(s.Started, math.MaxInt32)), Stored: s.Stored,
		}
		if s.TrialMs > 0 {
			decoded.TrialUntil = now.Add(millis(s.TrialMs))
		}
		u.Suspicions = append(u.Suspicions, decoded)
	}
	return u
}

// positiveMillis returns a duration in milliseconds; 0 if it is negative.
func positiveMillis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
