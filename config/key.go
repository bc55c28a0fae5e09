package config

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
)

// keyPrefix is the prefix of every workspace key. It lets secret scanners
// detect leaked keys.
const keyPrefix = "fw_"

// keySecretBytes is the number of random bytes in the secret part of a key.
const keySecretBytes = 24

// ErrMalformedKey means that a string does not have the format of a key.
var ErrMalformedKey = errors.New("config: malformed key")

// NewKey generates a key with the given id and returns it with its record for
// the configuration. secret is the key digest secret. The key itself must not be
// stored.
func NewKey(id string, secret []byte) (string, Key) {
	raw := make([]byte, keySecretBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	key := keyPrefix + id + "_" + hex.EncodeToString(raw)
	return key, Key{ID: id, Digest: DigestKey(key, secret)}
}

// DigestKey returns the HMAC-SHA-256 of a key, in hexadecimal. secret is the key
// digest secret.
func DigestKey(key string, secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	return hex.EncodeToString(mac.Sum(nil))
}

// KeyID extracts the id from a key. It returns ErrMalformedKey if the string is
// not a key.
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
