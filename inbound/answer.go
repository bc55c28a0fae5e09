package inbound

import (
	"net/http"
	"time"

	"github.com/figweir/figweir/membudget"
)

// uncountedAnswerBytes is the size of parts of answers that are in the memory of the request.
const uncountedAnswerBytes = 16 << 10

// countedWriter reserves memory for large parts of an answer as long as the client has not accepted them.
type countedWriter struct {
	http.ResponseWriter
	account *membudget.Connection
}

// Write implements io.Writer. It cuts the answer if there is no room for the part.
func (w *countedWriter) Write(p []byte) (int, error) {
	if len(p) <= uncountedAnswerBytes {
		return w.ResponseWriter.Write(p)
	}
	if err := w.account.AddAnswer(int64(len(p))); err != nil {
		panic(http.ErrAbortHandler)
	}
	defer w.account.EndAnswer(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *countedWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// limitedWriter sets the deadline of each write of an answer.
type limitedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// LimitWrites returns a writer whose writes end after the timeout, also if the client reads nothing. end
// must be called when the request has been handled: it does the same for what net/http still writes then.
func LimitWrites(w http.ResponseWriter, timeout time.Duration) (limited http.ResponseWriter, end func()) {
	l := &limitedWriter{w, http.NewResponseController(w), timeout}
	// The deadline of the previous request on the connection may have passed.
	_ = l.control.SetWriteDeadline(time.Time{})
	return l, l.extend
}

// extend sets the deadline of the next write.
func (w *limitedWriter) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) }

// Write implements io.Writer.
func (w *limitedWriter) Write(p []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(p)
}

// WriteHeader implements http.ResponseWriter.
func (w *limitedWriter) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *limitedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *limitedWriter) Flush() {
	w.extend()
	_ = w.control.Flush()
}
