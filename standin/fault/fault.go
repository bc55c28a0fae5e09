// Package fault lets the stand-ins be told over HTTP how to misbehave.
package fault

import (
	"encoding/json"
	"net/http"
)

// Path is where a stand-in takes its faults by PUT.
const Path = "/v1/faults"

// maxBodyBytes bounds a description of faults.
const maxBodyBytes = 64 << 10

// Handler returns a handler that decodes faults from the body of a request and
// hands them to set.
func Handler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults T
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(faults)
		w.WriteHeader(http.StatusNoContent)
	}
}
