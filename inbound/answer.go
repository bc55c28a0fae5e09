package inbound

import (
	"net/http"

	"github.com/figweir/figweir/membudget"
)

// uncountedAnswerBytes is the size of parts of answers that are in the memory of the request.
const uncountedAnswerBytes = 16 << 10

// answerWriter reserves memory for large parts of an answer as long as the client has not accepted them.
type answerWriter struct {
	http.ResponseWriter
	account *membudget.Connection
}

// Write implements io.Writer. It cuts the answer if there is no room for the part.
func (w *answerWriter) Write(p []byte) (int, error) {
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
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *answerWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }
