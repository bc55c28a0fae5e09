package once

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/standin/memstore"
)

// TestClaimIsNotGrantedAgainAfterRestore guards against a call that runs again although it may run at
// most once, because its claim went with the store. The load: claims before and after the copy, more
// than one segment holds, some of them finished; a restore to the copy and to an empty store, and
// again before the lost claims are written; then a writer on another node.
func TestClaimIsNotGrantedAgainAfterRestore(t *testing.T) {
	for _, empty := range []bool{false, true} {
		t.Run(fmt.Sprint("empty ", empty), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				st := memstore.New()
				c := testConfig()
				c.Era = st.Eras.Current
				w := startTestWriter(st, c, &fakeIncarnations{})
				defer w.Close()
				keys := 3 * c.SealEntries / 2
				var copied *memstore.Copy
				for n := range keys {
					if n == keys/4 && !empty {
						copied = st.Copy()
					}
					request := newClaimRequest(n, "a")
					is.Equal(mustClaim(is, w, request).State, Granted)
					if n%3 == 0 {
						is.NoErr(w.Finish(t.Context(), newFinishRequest(request)))
					}
				}
				expectNoneGranted := func(w *Writer) {
					for n := range keys {
						is.True(mustClaim(is, w, newClaimRequest(n, "b")).State != Granted)
					}
				}
				for range 2 {
					st.Restore(copied)
					expectNoneGranted(w)
				}
				is.Equal(mustClaim(is, w, newClaimRequest(keys, "b")).State, Granted) // the range works on
				otherClient := st.NewClient()
				c.Era = otherClient.Eras.Current
				other := startTestWriter(otherClient, c, &fakeIncarnations{})
				defer other.Close()
				expectNoneGranted(other)
				time.Sleep(time.Second)
			})
		})
	}
}
