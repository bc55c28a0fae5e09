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
	// queueCapacity is the maximum number of lines that wait to be written.
	queueCapacity = 4096
	// reservedCapacity is the part of queueCapacity that only important lines
	// may use.
	reservedCapacity = 1024
	// reportInterval is the time between two log lines that count dropped lines.
	reportInterval = time.Second
)

// AsyncWriter writes log lines in the background. Writing never blocks: lines that
// don't fit into the queue are dropped and counted. A part of the queue is
// reserved for important lines.
type AsyncWriter struct {
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	stop      chan struct{}
}

// NewAsyncWriter starts the background writer to w. Close stops it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, queueCapacity), done: make(chan struct{}), stop: make(chan struct{})}
	go a.writeLoop(w)
	return a
}

// Write implements io.Writer for ordinary lines. It never returns an error; a
// line that doesn't fit into the queue is dropped.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if len(a.lines) >= queueCapacity-reservedCapacity {
		a.dropped.Add(1)
		return len(line), nil
	}
	return a.enqueue(line)
}

// enqueue adds a copy of the line to the queue, or drops it if the queue is full.
func (a *AsyncWriter) enqueue(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and stops the background writer. It waits for
// that for at most one second.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(time.Second):
	}
}

// writeLoop writes queued lines until Close, then writes the rest of the queue and
// returns. It also logs the number of dropped lines at every reportInterval.
func (a *AsyncWriter) writeLoop(w io.Writer) {
	defer close(a.done)
	ticker := time.NewTicker(reportInterval)
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

// writeLine writes a line. Errors are ignored: there is nowhere to report that
// the log can't be written.
func writeLine(w io.Writer, line []byte) { _, _ = w.Write(line) }

func droppedLine(now time.Time, n int64) []byte {
	return []byte("time=" + now.Format(time.RFC3339Nano) + " level=INFO msg=\"log lines dropped\" count=" + strconv.FormatInt(n, 10) + "\n")
}

// importantWriter enqueues important lines, which may use the whole queue.
type importantWriter struct{ async *AsyncWriter }

func (w importantWriter) Write(line []byte) (int, error) { return w.async.enqueue(line) }

// Level is a log level that can be changed while the process runs.
type Level struct{ slog.LevelVar }

// SetVerbose enables or disables events of verbosity level 1.
func (l *Level) SetVerbose(verbose bool) {
	if verbose {
		l.Set(slog.LevelDebug)
	} else {
		l.Set(slog.LevelInfo)
	}
}

// NewLoggers returns two loggers that share one writer: one for ordinary events, and
// one for important events, whose lines may use the whole queue.
func NewLoggers(a *AsyncWriter, level *Level) (ordinary, important logr.Logger) {
	options := &slog.HandlerOptions{Level: level}
	return logr.FromSlogHandler(slog.NewTextHandler(a, options)), logr.FromSlogHandler(slog.NewTextHandler(importantWriter{a}, options))
}
