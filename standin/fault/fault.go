// Package fault implements the HTTP interface to inject faults into the stand-ins.
package fault

import (
	"encoding/json"
	"net/http"
)

// Path is the URL path of a stand-in to which the faults to inject are sent by PUT.
const Path = "/v1/faults"

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 64 << 10

// Handler returns a handler that decodes faults from the JSON body of a request and
// calls set with them. It answers with status 400 if the body has unknown fields or is
// not valid JSON.
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
