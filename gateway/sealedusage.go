package gateway

import (
	"net"
	"time"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/loadshare"
	"github.com/figweir/figweir/metering"
)

// sealRecipients is how many nodes get the sealed figures of a window. The next holder of the duty
// is one of the first nodes by name that are alive.
const sealRecipients = 8

// announceSeal sends the sealed figures of a window to the nodes that may hold the duty next. A
// store that is restored may lose them after they were reported.
func (g *Gateway) announceSeal(conn net.PacketConn, window int64, counts metering.Counts) {
	var recipients []string
	for _, node := range g.nodes.List() {
		if node.Name == g.settings.Name || node.LoadAddress == "" {
			continue
		}
		if recipients = append(recipients, node.LoadAddress); len(recipients) == sealRecipients {
			break
		}
	}
	u := &figweirv1.LoadUpdate{
		Scope: figweirv1.Scope_SCOPE_SEALED_USAGE, Incarnation: g.incarnation,
		Usage: []*figweirv1.WindowUsage{{Window: window, Counts: counts, Final: true}},
	}
	g.sharer.Send(conn, loadshare.Message{Update: u, Recipients: recipients})
}

// receiveSeals stores the sealed figures that the holder of the duty has announced.
func (g *Gateway) receiveSeals(now time.Time, from net.Addr, u *figweirv1.LoadUpdate) {
	current := g.usageWindows.At(g.trueTime.At(now))
	for _, w := range u.Usage {
		if w.Window < current-maxSealAge || w.Window > current {
			// Figures of a node with a wrong clock would displace those of the others.
			continue
		}
		if err := g.seals.Add(w.Window, w.Counts); err != nil {
			g.log.Info("announced usage figures ignored", "from", from.String(), "window", w.Window, "cause", err.Error())
		}
	}
}

// maxSealAge is the age, in windows, up to which announced figures are stored.
const maxSealAge = 8
