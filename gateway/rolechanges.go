package gateway

import (
	"sync"
	"time"

	"github.com/figweir/figweir/backends"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
)

// roleChangesInterval is the time after which running role changes are announced again,
// in case a datagram was lost or a node has started.
const roleChangesInterval = 500 * time.Millisecond

// roleChanges holds the role changes that this node has ordered, until the engines are
// expected to have their new roles. They are announced to all nodes: otherwise each node
// would find out by requests that the engines refuse. Its methods may be called from any
// goroutine.
type roleChanges struct {
	// incarnation distinguishes the announcements from load updates of this node.
	incarnation uint64

	mu          sync.Mutex
	byServer    map[uint64]changingServer
	announcedAt time.Time
	// added is set if a change was added since the last announcement.
	added bool
}

type changingServer struct {
	prefill bool
	until   time.Time
}

func newRoleChanges(incarnation uint64) *roleChanges {
	return &roleChanges{incarnation: incarnation, byServer: make(map[uint64]changingServer)}
}

// add adds a role change of the engine with the given hash that ends at until at the
// latest.
func (c *roleChanges) add(server uint64, prefill bool, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byServer[server] = changingServer{prefill, until}
	c.added = true
}

// updateDue returns the announcement of the running changes if one is due, else nil.
func (c *roleChanges) updateDue(now time.Time) *figweirv1.LoadUpdate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.added && now.Sub(c.announcedAt) < roleChangesInterval {
		return nil
	}
	u := &figweirv1.LoadUpdate{Scope: figweirv1.Scope_SCOPE_ROLE_CHANGES, Incarnation: c.incarnation}
	for server, change := range c.byServer {
		remaining := change.until.Sub(now)
		if remaining <= 0 {
			delete(c.byServer, server)
			continue
		}
		u.ChangingServers = append(u.ChangingServers, &figweirv1.ChangingServer{
			Server: server, Prefill: change.prefill, RemainingMs: uint32(remaining.Milliseconds()),
		})
	}
	if len(u.ChangingServers) == 0 {
		return nil
	}
	c.added, c.announcedAt = false, now
	return u
}

// applyRoleChanges records announced role changes at the engines in v. Engines that are
// not registered here yet are skipped: the announcement is repeated.
func applyRoleChanges(v *backends.View, now time.Time, changes []*figweirv1.ChangingServer) {
	for _, c := range changes {
		server := v.ByHash(c.Server)
		if server == nil {
			continue
		}
		role := backends.RoleDecode
		if c.Prefill {
			role = backends.RolePrefill
		}
		remaining := min(time.Duration(c.RemainingMs)*time.Millisecond, roleOrderTimeout)
		server.SetRoleChange(role, now.Add(remaining))
	}
}
