package node

import (
	"context"
	"errors"
	"time"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/operator"
	"github.com/figweir/figweir/platform/store"
)

const (
	// watchWait is how long one watch of the configuration waits.
	watchWait = 20 * time.Second
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 500 * time.Millisecond
)

// watchConfig keeps the configuration in force up to date until ctx ends.
func (n *Node) watchConfig(ctx context.Context) {
	var after store.Revision
	known := make(map[string][]byte)
	for ctx.Err() == nil {
		version, err := n.nextVersion(ctx, after)
		if err == nil && version.Revision > after {
			known, err = n.applyVersion(ctx, version, known)
			if err == nil {
				after = version.Revision
			}
		}
		if err != nil && ctx.Err() == nil {
			n.log.Info("configuration not read", "error", err.Error())
			sleep(ctx, storeRetry)
		}
	}
}

// nextVersion returns the current head, waiting for a change if after is the
// current one already.
func (n *Node) nextVersion(ctx context.Context, after store.Revision) (config.Version, error) {
	n.metrics.StoreCallsTotal.Add("config", 1)
	if after > 0 {
		events, _, err := n.store.Watch(ctx, config.HeadKey, after, watchWait)
		if err != nil && !errors.Is(err, store.ErrCompacted) {
			return config.Version{}, err
		}
		if err == nil && len(events) == 0 {
			return config.Version{}, nil
		}
		n.metrics.StoreCallsTotal.Add("config", 1)
	}
	return n.repository.Head(ctx)
}

// applyVersion reads the parts that changed and puts the version in force. It
// returns the parts by digest for the next change.
func (n *Node) applyVersion(ctx context.Context, version config.Version, known map[string][]byte) (map[string][]byte, error) {
	parts, err := n.repository.Parts(ctx, version.Head, known)
	if err != nil {
		return known, err
	}
	byDigest := make(map[string][]byte, len(parts))
	for name, digest := range version.Head.Parts {
		byDigest[digest] = parts[name]
	}
	document, err := config.Join(parts)
	if err != nil {
		n.metrics.ConfigRejectedTotal.Add(1)
		return known, err
	}
	snapshot, err := config.Build(document, version.Revision)
	if err != nil {
		n.metrics.ConfigRejectedTotal.Add(1)
		return known, err
	}
	if n.config.Swap(snapshot) {
		n.metrics.ConfigRevision.Set(int64(version.Revision))
		n.log.Info("configuration in force", "revision", version.Revision, "author", version.Head.Author)
	}
	return byDigest, nil
}

// ReadConfig implements operator.Node.
func (n *Node) ReadConfig(ctx context.Context) (*config.Document, config.Version, error) {
	return n.repository.Load(ctx)
}

// ApplyConfig implements operator.Node.
func (n *Node) ApplyConfig(ctx context.Context, r operator.ApplyRequest) (operator.ApplyResponse, error) {
	version, err := n.repository.Apply(ctx, r.Document, r.Base, r.Author)
	if err != nil {
		return operator.ApplyResponse{}, err
	}
	return operator.ApplyResponse{Revision: version.Revision, State: operator.StateStored}, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
