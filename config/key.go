package config

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
)

// keyPrefix starts every workspace key, so that leaked keys can be searched for.
const keyPrefix = "fw_"

// keySecretBytes is the entropy of the secret part of a key.
const keySecretBytes = 24

// ErrMalformedKey means that a string does not have the form of a key.
var ErrMalformedKey = errors.New("config: malformed key")

// NewKey returns a new key with the given id, and its record for the
// configuration. The key itself is shown once and never stored.
func NewKey(id string, secret []byte) (string, Key) {
	raw := make([]byte, keySecretBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	key := keyPrefix + id + "_" + hex.EncodeToString(raw)
	return key, Key{ID: id, Digest: DigestKey(key, secret)}
}

// DigestKey returns the keyed digest under which a key is stored.
func DigestKey(key string, secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	return hex.EncodeToString(mac.Sum(nil))
}

// KeyID extracts the id from a key.
func KeyID(key string) (string, error) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return "", ErrMalformedKey
	}
	i := strings.LastIndexByte(rest, '_')
	if i <= 0 || i == len(rest)-1 {
		return "", ErrMalformedKey
	}
	return rest[:i], nil
}
