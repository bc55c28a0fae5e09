package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestBlockedReaderDelaysNobody guards against an answer that waits for the
// reader of standard output, and against losing the lines of failures first.
func TestBlockedReaderDelaysNobody(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	a := NewAsync(writer)
	ordinary, important := NewPair(a, &Level{})
	for range 2 * queueLines {
		ordinary.Info("ordinary")
	}
	important.Info("failure", "request", "x1")
	is.True(a.Dropped() >= queueLines)

	var out bytes.Buffer
	var wait sync.WaitGroup
	wait.Go(func() { _, _ = io.Copy(&out, reader) })
	a.Close()
	is.NoErr(writer.Close())
	wait.Wait()
	is.True(strings.Contains(out.String(), "request=x1"))
}

// TestLevelChangesWhileRunning guards against a reload that has no effect.
func TestLevelChangesWhileRunning(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	a := NewAsync(&out)
	var level Level
	log, _ := NewPair(a, &level)
	log.V(1).Info("hidden")
	level.SetVerbose(true)
	log.V(1).Info("shown")
	a.Close()
	is.True(!strings.Contains(out.String(), "hidden"))
	is.True(strings.Contains(out.String(), "shown"))
}
