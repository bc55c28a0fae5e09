package gateway

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/metering"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/platform/kvserver"
	"github.com/figweir/figweir/standin/memstore"
)

// newIdleGateway returns a node that is not run, with the store at an address.
func newIdleGateway(t *testing.T, storeAddress string) *Gateway {
	is := is.New(t)
	s, err := platform.ParseSettings("test", []byte(testSettings))
	is.NoErr(err)
	if storeAddress != "" {
		s.Store.Address = storeAddress
	}
	logWriter := logging.NewAsyncWriter(io.Discard)
	t.Cleanup(logWriter.Close)
	return New("", s, logWriter)
}

// TestAnnouncedSealsAreStored guards against figures that only the holder of the duty knows when
// the store is restored, and against announcements of a node with a wrong clock or with impossible
// figures. The load: announcements of the present window, of one far away, with negative counts,
// and with other figures than before.
func TestAnnouncedSealsAreStored(t *testing.T) {
	is := is.New(t)
	g := newIdleGateway(t, "")
	now := time.Now()
	current := g.usageWindows.At(g.trueTime.At(now))
	receive := func(window int64, counts metering.Counts) {
		g.handleLoadUpdate(&net.UDPAddr{}, &figweirv1.LoadUpdate{
			Scope: figweirv1.Scope_SCOPE_SEALED_USAGE, Incarnation: 7,
			Usage: []*figweirv1.WindowUsage{{Window: window, Counts: counts}},
		})
	}
	receive(current-1, metering.Counts{"a": 3})
	receive(current-1, metering.Counts{"a": 4})
	receive(current-2, metering.Counts{"a": -1})
	receive(current+5, metering.Counts{"a": 3})
	is.Equal(g.seals.Windows(), map[int64]metering.Counts{current - 1: {"a": 3}})
}

// TestOrdersAreStoredAfterRestore guards against orders that are never stored again after the
// store was restored, so that the next holder orders too few engines. The load: a total that
// rises before and after a restore to an empty store and to a copy.
func TestOrdersAreStoredAfterRestore(t *testing.T) {
	is := is.New(t)
	router := chi.NewRouter()
	st := memstore.New()
	kvserver.Register(router, st)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	g := newIdleGateway(t, server.Listener.Addr().String())
	a := newAutoscaler(g, nil, nil)
	a.storeOrdered(t.Context(), "s", 3, nil)
	earlier := st.Copy()
	a.storeOrdered(t.Context(), "s", 4, nil)
	for i, c := range []*memstore.Copy{earlier, nil} {
		st.Restore(c)
		for n := range 3 {
			a.storeOrdered(t.Context(), "s", 10*(i+1)+n, nil)
		}
		entry, err := st.Get(t.Context(), orderedKey)
		is.NoErr(err)
		is.True(strings.Contains(string(entry.Value), map[int]string{0: "12", 1: "22"}[i]))
	}
}
