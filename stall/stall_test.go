package stall

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// silent returns a resumable stream that has been silent for the given time, on a route whose callers
// leave after 2,400 ms.
func silent(silence time.Duration) Stream {
	return Stream{
		Silence: silence, Begun: true, TargetLatency: 400 * ms, TargetPause: 300 * ms, TimeLeft: 5 * time.Second, Resumable: true, AttemptsLeft: 1,
		CheckedAt: silence, Server: Reachable, RunningElsewhere: 8,
	}
}

// movesAt returns the silence after which a stream leaves its server, up to 10 s; 0 if it does not.
func movesAt(change func(*Stream)) time.Duration {
	for silence := ms; silence < 10*time.Second; silence += ms {
		s := silent(silence)
		change(&s)
		if Decide(s).Action == Move {
			return silence
		}
	}
	return 0
}

// TestSilentServerIsLeftBeforeCallersLeave guards against a stream that hangs at a silent server until
// its caller leaves, and against one that leaves a slow server.
func TestSilentServerIsLeftBeforeCallersLeave(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Stream)
		at     time.Duration
	}{
		"after events":                 {func(*Stream) {}, 1200 * ms},
		"before the first event":       {func(s *Stream) { s.Begun = false }, 1600 * ms},
		"before it, deadline near":     {func(s *Stream) { s.Begun, s.TimeLeft = false, 2600*ms-s.Silence }, 1300 * ms},
		"an event each second so far":  {func(s *Stream) { s.LongestPause = time.Second }, 1500 * ms},
		"an event each two seconds":    {func(s *Stream) { s.LongestPause = 2 * time.Second }, 1800 * ms},
		"two of eight others silent":   {func(s *Stream) { s.SilentElsewhere = 2 }, 1440 * ms},
		"five of eight others silent":  {func(s *Stream) { s.SilentElsewhere = 5 }, 1800 * ms},
		"six of eight others silent":   {func(s *Stream) { s.SilentElsewhere = 6 }, 0},
		"all silent, server draining":  {func(s *Stream) { s.SilentElsewhere, s.Server = 8, Draining }, 1200 * ms},
		"no other streams":             {func(s *Stream) { s.RunningElsewhere = 0 }, 1200 * ms},
		"one of one other silent":      {func(s *Stream) { s.RunningElsewhere, s.SilentElsewhere = 1, 1 }, 1600 * ms},
		"not resumable":                {func(s *Stream) { s.Resumable = false }, 0},
		"no attempt left":              {func(s *Stream) { s.AttemptsLeft = 0 }, 0},
		"moved before":                 {func(s *Stream) { s.Moved = true }, 0},
		"no budget":                    {func(s *Stream) { s.Blocked = true }, 0},
		"too late for another server":  {func(s *Stream) { s.TimeLeft = 400 * ms }, 0},
		"moved before, server crashed": {func(s *Stream) { s.Moved, s.Server = true, Crashed }, 600 * ms},
		"all silent, server replaced":  {func(s *Stream) { s.SilentElsewhere, s.Server = 8, Replaced }, 600 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			at := movesAt(test.change)
			if diff := at - test.at; diff < -ms || diff > ms {
				t.Fatalf("moves after %v, not %v", at, test.at)
			}
		})
	}
}

// TestStreamEndsOnlyWithItsServer guards against a stream that is ended although its server may go
// on with it, and against callers who wait for one that can't.
func TestStreamEndsOnlyWithItsServer(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Stream)
		action Action
	}{
		"unresumable, unreachable":          {func(s *Stream) { s.Resumable, s.Server = false, Unknown }, Wait},
		"unresumable, reachable":            {func(s *Stream) { s.Resumable = false }, Wait},
		"unresumable, draining":             {func(s *Stream) { s.Resumable, s.Server = false, Draining }, Wait},
		"unresumable, crashed":              {func(s *Stream) { s.Resumable, s.Server = false, Crashed }, End},
		"unresumable, replaced":             {func(s *Stream) { s.Resumable, s.Server = false, Replaced }, End},
		"no attempt left, crashed":          {func(s *Stream) { s.AttemptsLeft, s.Server = 0, Crashed }, End},
		"no budget, silent":                 {func(s *Stream) { s.Blocked = true }, Wait},
		"no budget, crashed, caller waits":  {func(s *Stream) { s.Blocked, s.Server, s.Silence = true, Crashed, 2300*ms }, Wait},
		"no budget, crashed, caller leaves": {func(s *Stream) { s.Blocked, s.Server = true, Crashed }, End},
		"never checked":                     {func(s *Stream) { s.Resumable, s.CheckedAt = false, 0 }, Check},
		"checked at half of the silence":    {func(s *Stream) { s.Resumable, s.CheckedAt = false, s.Silence/2 }, Check},
		"long prompt, between events":       {func(s *Stream) { s.TargetLatency, s.Silence, s.CheckedAt = 1500*ms, 600*ms, 0 }, Check},
		"long prompt, before the first":     {func(s *Stream) { s.TargetLatency, s.Silence, s.Begun = 1500*ms, 1499*ms, false }, Wait},
		"progress":                          {func(s *Stream) { s.Silence, s.Server = 599*ms, Crashed }, Wait},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := silent(3 * time.Second)
			test.change(&s)
			d := Decide(s)
			is.Equal(d.Action, test.action)
			is.True(d.Action != Wait || d.Next > 0) // or the timer would spin
		})
	}
}
