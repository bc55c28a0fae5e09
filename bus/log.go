package bus

import (
	"github.com/ThreeDotsLabs/watermill"
	"github.com/go-logr/logr"
)

// debugLevel is the logr verbosity level for watermill's own messages.
const debugLevel = 1

// NewLogger adapts a logr logger to watermill.
func NewLogger(log logr.Logger) watermill.LoggerAdapter { return logger{log} }

type logger struct{ log logr.Logger }

// Error implements watermill.LoggerAdapter.
func (l logger) Error(msg string, err error, fields watermill.LogFields) {
	l.log.Error(err, msg, keysAndValues(fields)...)
}

// Info implements watermill.LoggerAdapter.
func (l logger) Info(msg string, fields watermill.LogFields) {
	l.log.V(debugLevel).Info(msg, keysAndValues(fields)...)
}

// Debug implements watermill.LoggerAdapter.
func (l logger) Debug(msg string, fields watermill.LogFields) {
	l.log.V(debugLevel).Info(msg, keysAndValues(fields)...)
}

// Trace implements watermill.LoggerAdapter. It discards traces of single messages.
func (l logger) Trace(string, watermill.LogFields) {}

// With implements watermill.LoggerAdapter.
func (l logger) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return logger{l.log.WithValues(keysAndValues(fields)...)}
}

func keysAndValues(fields watermill.LogFields) []any {
	out := make([]any, 0, 2*len(fields))
	for name, value := range fields {
		out = append(out, name, value)
	}
	return out
}
