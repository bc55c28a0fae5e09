package configsync_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/configsync"
	"github.com/figweir/figweir/standin/memstore"
)

// TestAppliedChangeIsNotReportedAsRace guards against an operator who is told
// that another change came first although their own took effect: the store lost
// its answer, and a second operator built on it before the first read back.
func TestAppliedChangeIsNotReportedAsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFabric(7)
		defer f.stop()
		f.deploy(3, 1, testDocument(3))
		d, version := operatorReads(t, f)
		inside := false
		f.mem.SetFault(func(op memstore.Op, key string) memstore.Fault {
			if op != memstore.OpPut || key != config.HeadKey || inside {
				return memstore.Fault{}
			}
			inside = true
			return memstore.Fault{LoseAnswer: true, After: func() {
				first, firstVersion := operatorReads(t, f)
				is.Equal(firstVersion.Head.Author, "first") // it took effect
				_, err := config.NewRepository(f.mem).Apply(context.Background(), first, firstVersion.Revision, "second")
				is.NoErr(err)
			}}
		})
		_, err := withdraw(f.nodes["vm000"].process.Load(), d, version.Revision, 0, "first")
		var race *config.RaceError
		is.True(!errors.As(err, &race)) // the change was applied, so no race was lost
	})
}

// TestRestartedNodeIsNotReadyFromMinority guards against a restarted node that
// reports ready with the old revision of the only peer that it reaches.
func TestRestartedNodeIsNotReadyFromMinority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFabric(8)
		defer f.stop()
		f.deploy(5, 2, testDocument(2))
		f.split(true, "vm003", "vm004")
		d, version := operatorReads(t, f)
		result, err := withdraw(f.nodes["vm000"].process.Load(), d, version.Revision, 0, "operator")
		is.NoErr(err)
		f.nodes["vm003"].stop()
		f.nodes["vm003"].start()
		time.Sleep(10 * time.Second)
		restarted := f.nodes["vm003"].process.Load().sync
		is.Equal(restarted.Revision(), version.Revision) // pulled from vm004
		is.True(!restarted.Ready())
		f.heal()
		time.Sleep(5 * time.Second)
		is.True(restarted.Ready())
		is.Equal(restarted.Revision(), result.Revision)
	})
}

// TestSlowPartsBlockNobody guards against reads of the head that wait behind a
// load of parts from a slow store. With a lock that waits, virtual time stops
// and the test does not end.
func TestSlowPartsBlockNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFabric(9)
		defer f.stop()
		f.deploy(3, 1, testDocument(3))
		f.mem.SetFault(func(op memstore.Op, key string) memstore.Fault {
			if op == memstore.OpGet && key != config.HeadKey {
				return memstore.Fault{Before: func() { time.Sleep(900 * time.Millisecond) }}
			}
			return memstore.Fault{}
		})
		d, version := operatorReads(t, f)
		d.Workspaces[0].Weight++
		changed, err := config.NewRepository(f.mem).Apply(context.Background(), d, version.Revision, "operator")
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		for _, name := range f.names() {
			is.Equal(f.nodes[name].process.Load().sync.Revision(), changed.Revision)
			is.Equal(f.nodes[name].process.Load().sync.Verdict(), configsync.Fresh)
		}
	})
}
