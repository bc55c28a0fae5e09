package core

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBodyIsNotSentAfterRelease serves requests of every kind with random outcomes. It guards against an
// attempt that would be sent without the body, because the body was released before.
func TestBodyIsNotSentAfterRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]RouteKind{Unsafe, Safe, Streaming}).Draw(t, "kind")
		resumable := rapid.Bool().Draw(t, "resumable")
		outcomes := rapid.SliceOfN(rapid.Custom(drawOutcome), 0, 8).Draw(t, "steps")
		f := newFixture(kind, resumable, outcomes...)
		released := false
		f.upstream.onSend = func() {
			if released {
				t.Fatal("an attempt is sent after the body was released")
			}
		}
		f.serve(&Request{ReleaseBody: func() { released = true }})
	})
}

// releaseAnswer tells whether the body had been released when the answer was read.
type releaseAnswer struct {
	fakeAnswer
	released *bool
	atRead   []bool
}

func (a *releaseAnswer) ReadAll() ([]byte, error) {
	a.atRead = append(a.atRead, *a.released)
	return a.fakeAnswer.ReadAll()
}

func (a *releaseAnswer) Next() (Event, error) {
	a.atRead = append(a.atRead, *a.released)
	return a.fakeAnswer.Next()
}

// TestBodyIsReleasedBeforeAnswerIsRead guards against bodies that stay in memory while their answers are
// relayed, although they will not be sent again.
func TestBodyIsReleasedBeforeAnswerIsRead(t *testing.T) {
	for _, c := range []struct {
		name      string
		kind      RouteKind
		resumable bool
		stream    bool
		want      []bool
	}{
		{"at most once", Unsafe, false, false, []bool{true}},
		{"stream that may not be resumed", Streaming, false, true, []bool{true, true, true}},
		{"stream of a read", Safe, false, true, []bool{false, true, true}},
		{"read", Safe, false, false, []bool{false}},
		{"resumable stream", Streaming, true, true, []bool{false, false, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			released := false
			a := &releaseAnswer{fakeAnswer: fakeAnswer{status: 200, stream: c.stream, events: events("1", "2")}, released: &released}
			f := newFixture(c.kind, c.resumable, Answered{a})
			f.serve(&Request{ReleaseBody: func() { released = true }})
			is.New(t).Equal(a.atRead, c.want)
		})
	}
}
