package backends

import "time"

// Notice is what a backend server states about itself in an answer, apart from its load.
type Notice struct {
	// Limit is the rate limit that the server states.
	Limit LimitStatement
	// Leaving means that the server is about to stop and accepts no further requests.
	Leaving bool
	// RetryAfter is how long the server refuses requests of this node; 0 if not stated.
	RetryAfter time.Duration
}

// LimitStatement is what one answer states about the rate limit of its server.
type LimitStatement struct {
	Kind LimitKind
	// PerSecond is the number of requests per second that the server accepts from all
	// nodes together. It is set only for Limited and is finite and not negative.
	PerSecond float64
}

// LimitKind tells the kinds of statements about a rate limit apart.
type LimitKind int

// The kinds of statements.
const (
	// Unlimited means that the answer states no limit, so none is in force.
	Unlimited LimitKind = iota
	// Limited means that the answer states a limit.
	Limited
	// Unreadable means that the statement could not be decoded. What was known before
	// stays in force.
	Unreadable
)
