package logging

import (
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// queueLines is how many lines may wait for a slow reader.
	queueLines = 4096
	// reservedLines of these are kept for urgent lines.
	reservedLines = 1024
	// reportEvery is the time between two reports of dropped lines.
	reportEvery = time.Second
)

// Async writes lines in the background. It never blocks: lines for which there is
// no room are dropped and counted, urgent ones last.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// NewAsync returns a writer of lines to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, queueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer for ordinary lines.
func (a *Async) Write(line []byte) (int, error) {
	if len(a.lines) >= queueLines-reservedLines {
		a.dropped.Add(1)
		return len(line), nil
	}
	return a.queue(line)
}

func (a *Async) queue(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits, as far as the reader takes it within a second.
func (a *Async) Close() {
	a.once.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(time.Second):
	}
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-a.lines:
			writeLine(w, line)
		case now := <-ticker.C:
			if n := a.dropped.Load(); n != reported {
				writeLine(w, droppedLine(now, n-reported))
				reported = n
			}
		case <-a.stop:
			for {
				select {
				case line := <-a.lines:
					writeLine(w, line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes a line. There is nowhere to report that the log itself can't
// be written.
func writeLine(w io.Writer, line []byte) { _, _ = w.Write(line) }

func droppedLine(now time.Time, n int64) []byte {
	return []byte("time=" + now.Format(time.RFC3339Nano) + " level=INFO msg=\"log lines dropped\" count=" + strconv.FormatInt(n, 10) + "\n")
}

// urgent writes lines that are dropped last.
type urgent struct{ async *Async }

func (u urgent) Write(line []byte) (int, error) { return u.async.queue(line) }

// Level is a level that may change while the process runs.
type Level struct{ slog.LevelVar }

// SetVerbose lets events of level 1 through, or not.
func (l *Level) SetVerbose(verbose bool) {
	if verbose {
		l.Set(slog.LevelDebug)
	} else {
		l.Set(slog.LevelInfo)
	}
}

// NewPair returns two loggers over one writer: one for ordinary events, and one
// whose lines are dropped last.
func NewPair(a *Async, level *Level) (ordinary, important logr.Logger) {
	options := &slog.HandlerOptions{Level: level}
	return logr.FromSlogHandler(slog.NewTextHandler(a, options)), logr.FromSlogHandler(slog.NewTextHandler(urgent{a}, options))
}
