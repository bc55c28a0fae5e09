package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/standin/smuggling"
)

// bookingTarget is the listener of a node for callers, with calls that must not run twice.
func (d *deployment) bookingTarget() smuggling.Target {
	return smuggling.Target{
		Address: d.nodes[0].settings.Listen.Callers,
		Head: func(id string) string {
			return "POST /services/" + serviceName + "/bookings HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + d.key +
				"\r\n" + caller.HeaderIdempotencyKey + ": " + id + "\r\n"
		},
		Body: func(id string) string { return fmt.Sprintf(`{"slot": %q}`, id) },
	}
}

// operatorTarget is the listener of a node for operators.
func (d *deployment) operatorTarget() smuggling.Target {
	return smuggling.Target{
		Address: d.nodes[0].settings.Listen.Operators,
		Head:    func(string) string { return "GET /healthz HTTP/1.1\r\nHost: node\r\n" },
	}
}

// TestNodeServesNoSmuggledRequests guards against request smuggling on any listener of a node: a request
// whose head states a length and a transfer encoding is served, or one that stands in its body, whatever
// the form and the length of the head and whatever was sent before.
func TestNodeServesNoSmuggledRequests(t *testing.T) {
	d := startDeployment(t, 1)
	peers := d.operatorTarget()
	peers.Address = d.nodes[0].settings.Listen.Peers
	for _, form := range smuggling.Forms {
		t.Run(form.Name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			is.NoErr(form.Check(d.bookingTarget()))  // callers
			is.Equal(d.runCount(form.InnerID()), 0)  // runs of the request in the body
			is.NoErr(form.Check(d.operatorTarget())) // operators
			is.NoErr(form.CheckUnanswered(peers))    // peers, which speak HTTP/2
		})
	}
}

// TestNodeServesSoundFramingOnce guards against sound requests that are refused or run twice because they
// look like smuggled ones: chunks and lengths in turn on one connection, long heads, extensions and
// trailers, sent at once and byte by byte.
func TestNodeServesSoundFramingOnce(t *testing.T) {
	d := startDeployment(t, 1)
	target := d.bookingTarget()
	for _, byBytes := range []bool{false, true} {
		t.Run(fmt.Sprintf("by bytes %v", byBytes), func(t *testing.T) {
			is := is.New(t)
			text, ids := "", []string(nil)
			for _, shape := range smuggling.SoundShapes {
				id := fmt.Sprintf("%s %v", shape.Name, byBytes)
				text += shape.Text(target, id)
				ids = append(ids, id)
			}
			statuses, err := smuggling.Send(target.Address, text, byBytes, len(ids))
			is.NoErr(err)
			is.Equal(statuses, slices.Repeat([]int{http.StatusOK}, len(ids)))
			for _, id := range ids {
				is.Equal(d.runCount(id), 1)
			}
		})
	}
}
