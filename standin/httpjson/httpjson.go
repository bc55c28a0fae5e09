// Package httpjson reads and writes the JSON bodies of the stand-ins.
package httpjson

import (
	"encoding/json"
	"net/http"

	"github.com/figweir/figweir/store"
)

// maxRequestBytes allows one value of the largest size in base64.
const maxRequestBytes = 2 * store.MaxValueBytes

// Decode reads the body of a request into v. If it can't, it answers with status
// 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Encode answers with a status and v. The test that reads the answer sees a
// failure to write it.
func Encode(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
