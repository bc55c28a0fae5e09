package gateway

import (
	"strings"

	"github.com/figweir/figweir/core"
)

// countNotRun counts the attempts of a request that count as not run, by what proves it.
func (o *observer) countNotRun(r *core.Record) {
	for _, proof := range r.NotRunProofs {
		o.notRun.Add(string(proof.Ground), 1)
	}
}

// notRunFields returns the fields of the log line of a request that tell why its attempts count as
// not run. The core bounds their number.
func notRunFields(r *core.Record) []any {
	if len(r.NotRunProofs) == 0 {
		return nil
	}
	proofs := make([]string, len(r.NotRunProofs))
	for i, proof := range r.NotRunProofs {
		proofs[i] = proof.String()
	}
	return []any{"not_run", strings.Join(proofs, ";")}
}
