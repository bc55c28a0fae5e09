package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
)

// TestRoleChangesAreAnnounced guards against nodes that don't learn of a role change
// because one datagram was lost, and against announcements at every load update.
func TestRoleChangesAreAnnounced(t *testing.T) {
	is := is.New(t)
	r := backends.NewRegistry()
	r.Replace([]backends.Registration{{ID: "e", Service: "s", Role: backends.RolePrefill}})
	hash := r.View().All()["e"].Hash
	c := newRoleChanges(1)
	now := time.Now()
	is.True(c.updateDue(now) == nil)
	c.add(hash, false, now.Add(roleOrderTimeout))
	u := c.updateDue(now)
	is.Equal(len(u.ChangingServers), 1)
	is.Equal(u.ChangingServers[0].Server, hash)
	is.True(c.updateDue(now.Add(roleChangesInterval/2)) == nil)
	c.add(hash+1, true, now.Add(roleOrderTimeout))
	is.Equal(len(c.updateDue(now.Add(roleChangesInterval/2)).ChangingServers), 2) // a new change is announced at once
	is.Equal(len(c.updateDue(now.Add(2*roleChangesInterval)).ChangingServers), 2) // and repeated
	is.True(c.updateDue(now.Add(roleOrderTimeout)) == nil)                        // until it should have ended
	applyRoleChanges(r.View(), now, u.ChangingServers)                            // unknown engines are ignored
}
