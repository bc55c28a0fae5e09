package e2e

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a planned stop that cuts a stream or ends with a failure, and
// against a stopping node that takes new work.
func TestPlannedStopCutsNoStream(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 2)
	const (
		stopped = 0
		streams = 12
		tokens  = 1000
	)
	var begun, ended atomic.Int64
	errs := make([]error, streams)
	var wait sync.WaitGroup
	for i := range errs {
		wait.Go(func() {
			var once sync.Once
			errs[i] = d.chat(stopped, d.key, newChat(fmt.Sprintf("order %d", i), tokens, true), func() { once.Do(func() { begun.Add(1) }) })
			ended.Add(1)
		})
	}
	t.Cleanup(wait.Wait)
	eventually(t, "all streams run", func() error {
		if n := begun.Load(); n < streams {
			return fmt.Errorf("%d streams", n)
		}
		return nil
	})
	d.nodes[stopped].signal(t, syscall.SIGTERM)
	eventually(t, "the node takes no new work", func() error {
		if d.probe(d.nodes[stopped], "/readyz") == nil {
			return fmt.Errorf("it is ready")
		}
		return nil
	})
	running := streams - ended.Load()
	refused := d.chat(stopped, d.key, newChat("new work", 1, true), nil)
	is.True(refused != nil)
	if code(refused) != "" {
		is.True(notRun(refused))
	}
	wait.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
	is.True(running > 0) // streams were running when the stop began
	is.Equal(d.nodes[stopped].wait(t), 0)
	is.True(strings.Contains(d.nodes[stopped].log.String(), "cut=false"))
	is.NoErr(d.chat(1, d.key, newChat("through the other node", 10, true), nil))
}
