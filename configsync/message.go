package configsync

import (
	"context"

	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/store"
)

// Part is one part of the configuration. Value is empty if only the digest is
// sent.
type Part struct {
	Name   string
	Digest string
	Value  []byte
}

// PushRequest offers a revision. Without parts it only queries the revision that
// the receiver has in force.
type PushRequest struct {
	Revision store.Revision
	Author   string
	Parts    []Part
}

// PushReply is the reply to a PushRequest.
type PushReply struct {
	// Revision is the revision in force on the receiver after the call.
	Revision store.Revision
	// Missing lists the digests of values that the receiver needs.
	Missing []string
}

// PullRequest requests the revision in force on another node.
type PullRequest struct {
	KnownRevision store.Revision
	// KnownDigests lists the digests of values that need not be sent.
	KnownDigests []string
}

// PullReply is the reply to a PullRequest. It has no parts if the revision is
// not greater than KnownRevision.
type PullReply struct {
	Revision store.Revision
	Author   string
	Parts    []Part
}

// Transport exchanges configuration with other nodes. A call returns an error if
// no reply arrives before ctx ends.
type Transport interface {
	// Push sends a request to another node, which handles it with HandlePush.
	Push(ctx context.Context, to membership.VM, request *PushRequest) (*PushReply, error)
	// Pull sends a request to another node, which handles it with HandlePull.
	Pull(ctx context.Context, to membership.VM, request *PullRequest) (*PullReply, error)
}
