// Package httpjson decodes and encodes JSON request and response bodies for the
// stand-ins.
package httpjson

import (
	"encoding/json"
	"net/http"

	"github.com/figweir/figweir/store"
)

// maxRequestBytes leaves room for one value of the maximum size, encoded in base64.
const maxRequestBytes = 2 * store.MaxValueBytes

// Decode decodes the JSON body of a request into v. If that fails, it answers with
// status 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Encode answers with a status and with v as the JSON body. Write errors are ignored,
// because the client that reads the answer gets an error of its own.
func Encode(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
