package quota

import "time"

// Request asks a granter for a permit.
type Request struct {
	// ID is repeated in the grant.
	ID uint64
	// Workspace is the hash of the workspace's name.
	Workspace uint64
	Amount    uint64
}

// Grant is the answer of a granter.
type Grant struct {
	ID        uint64
	Workspace uint64
	Granted   bool
	// Wait is the time after which there may be a permit.
	Wait time.Duration
	// NotGranter means that the next granter should be asked. If Wait is 0, the node grants no
	// permits for the workspace; otherwise it has none, and another granter may have some.
	NotGranter bool
}

// Granted notifies the other granters of grants.
type Granted struct {
	Workspace uint64
	// Incarnation identifies the run of the granter.
	Incarnation uint64
	// Amount is what was granted since the last message, and Total the sum of all grants.
	Amount, Total uint64
	// Tokens is what the bucket of the granter holds.
	Tokens float64
}

// Return gives back a permit with which nothing was sent. ID is unique for the sending node.
type Return struct {
	ID        uint64
	Workspace uint64
	Amount    uint64
}

// StateRequest asks another granter what its bucket holds.
type StateRequest struct{ Workspace uint64 }

// State is the answer to a StateRequest.
type State struct {
	Workspace uint64
	Tokens    float64
	// Sent is the sum of the amounts granted in the last window.
	Sent float64
}

// Heartbeat shows that the sender is running.
type Heartbeat struct {
	// Ask asks for a heartbeat in return; Answer is set in that one.
	Ask, Answer bool
	// Leaving means that the sender stops and sends nothing more to backend servers.
	Leaving bool
}

// Message is sent to one node. One of the pointers is set.
type Message struct {
	To           string
	Heartbeat    *Heartbeat
	Request      *Request
	Grant        *Grant
	Granted      *Granted
	Return       *Return
	StateRequest *StateRequest
	State        *State
}
