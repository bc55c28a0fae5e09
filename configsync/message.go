package configsync

import (
	"context"

	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/store"
)

// Part is one part of the configuration. Value is empty where only the digest
// is told.
type Part struct {
	Name   string
	Digest string
	Value  []byte
}

// PushRequest offers a revision. Without parts it only asks which revision the
// receiver has in force.
type PushRequest struct {
	Revision store.Revision
	Author   string
	Parts    []Part
}

// PushReply answers a PushRequest.
type PushReply struct {
	// Revision is the one in force on the receiver after the call.
	Revision store.Revision
	// Missing lists the digests of values that the receiver needs.
	Missing []string
}

// PullRequest asks for the revision in force on another node.
type PullRequest struct {
	KnownRevision store.Revision
	// KnownDigests are of the values that need not be sent.
	KnownDigests []string
}

// PullReply answers a PullRequest. It has no parts if the revision is not
// greater than the known one.
type PullReply struct {
	Revision store.Revision
	Author   string
	Parts    []Part
}

// Transport sends configuration between nodes; ctx bounds each call.
type Transport interface {
	Push(ctx context.Context, to membership.VM, request *PushRequest) (*PushReply, error)
	Pull(ctx context.Context, to membership.VM, request *PullRequest) (*PullReply, error)
}
