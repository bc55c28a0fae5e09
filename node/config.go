package node

import (
	"context"
	"time"

	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/configsync"
	"github.com/figweir/figweir/operator"
)

// ReadConfig implements operator.Node.
func (n *Node) ReadConfig(ctx context.Context) (*config.Document, config.Version, error) {
	return n.repository.Load(ctx)
}

// ApplyConfig implements operator.Node.
func (n *Node) ApplyConfig(ctx context.Context, r operator.ApplyRequest) (operator.ApplyResponse, error) {
	result, err := n.sync.Apply(ctx, r.Document, r.Base, r.Author)
	if err != nil {
		return operator.ApplyResponse{}, err
	}
	state := operator.StateStored
	if result.Status == configsync.Accepted {
		state = operator.StateAccepted
	}
	return operator.ApplyResponse{Revision: result.Revision, State: state, Missing: result.Missing}, nil
}

// sleep waits for d or until ctx ends. Callers must check ctx themselves.
func sleep(ctx context.Context, d time.Duration) {
	_ = boottime.Sleep(ctx, d)
}
