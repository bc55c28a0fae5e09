package ratelimit

import "time"

// Statement is what a node knows about the limit of a backend server.
type Statement struct {
	// Server is the hash of the incarnation of the server.
	Server uint64
	// Lifted means that the server states no limit. LiftedAt is then when the last request was
	// sent whose answer stated none.
	Lifted   bool
	LiftedAt time.Time
	// PerSecond is the limit, and StatedAt when the last answer with it was received.
	PerSecond float64
	StatedAt  time.Time
}

// PermitRequest asks a granter for permits.
type PermitRequest struct {
	// ID is repeated in the grant.
	ID        uint64
	Permits   int
	Statement Statement
}

// Grant is the answer of a granter.
type Grant struct {
	ID      uint64
	Permits int
	// Wait is the time after which it makes sense to ask again.
	Wait time.Duration
	// NotGranter means that the node grants no permits for the server.
	NotGranter bool
	Statement  Statement
}

// Granted tells the other granters how many permits a granter has granted.
type Granted struct {
	Server uint64
	// Incarnation identifies the run of the granter.
	Incarnation uint64
	// Permits is the number of the last grant, and Total the sum of all of them.
	Permits int
	Total   uint64
}

// Message is sent to one node, or to all others if To is empty. One of the pointers is set.
type Message struct {
	To        string
	Statement *Statement
	Request   *PermitRequest
	Grant     *Grant
	Granted   *Granted
}
