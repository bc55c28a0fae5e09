package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/platform/backendsim"
	"github.com/figweir/figweir/store"
)

// writeConfig writes a version of the configuration with the given keys, as the operator does.
func (d *deployment) writeConfig(version int64, keys map[string]string) {
	is := is.New(d.t)
	raw, err := backendsim.Config(version, keys)
	is.NoErr(err)
	old, err := d.store.Get(d.t.Context(), backendsim.ConfigKey)
	is.NoErr(err)
	_, err = d.store.Put(d.t.Context(), backendsim.ConfigKey, raw, old.Revision, store.NoLease)
	is.NoErr(err)
}

// TestWithdrawnKeyStaysWithdrawnAfterRestore guards against a key that works again since the store came
// back from a copy. The load: two nodes that have the withdrawal in force, a restore to a copy from
// before it, a node that is started before the operator has written it again, and requests with the
// withdrawn and with the valid key through all of them.
func TestWithdrawnKeyStaysWithdrawnAfterRestore(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 2, 2)
	copied := d.store.Copy()
	d.writeConfig(2, map[string]string{"b": "key-b"})
	for _, g := range d.gateways {
		for g.config.Version() != 2 {
			time.Sleep(time.Millisecond)
		}
	}
	d.store.Restore(copied)
	d.startNode("n2", d.subnet+".3", d.storeAddress)
	for node, g := range d.gateways {
		is.Equal(g.config.Version(), int64(2))
		status, ran := d.send(node, "p") // with the withdrawn key
		is.Equal(status, http.StatusUnauthorized)
		is.True(!ran)
	}
	d.writeConfig(3, map[string]string{"a": "key-a", "b": "key-b"})
	for node, g := range d.gateways {
		for g.config.Version() != 3 {
			time.Sleep(time.Millisecond)
		}
		status, _ := d.send(node, "p")
		is.Equal(status, http.StatusOK)
		is.Equal(g.store.Eras.Current(), store.Era(1))
	}
}
