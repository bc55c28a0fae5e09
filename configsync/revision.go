package configsync

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/store"
)

// revision is an immutable configuration revision with the encoded values of its
// parts.
type revision struct {
	number store.Revision
	author string
	parts  map[string]Part   // by name
	values map[string][]byte // by digest
}

func newRevision(number store.Revision, author string, values map[string][]byte) *revision {
	r := &revision{number: number, author: author, parts: make(map[string]Part, len(values)), values: make(map[string][]byte, len(values))}
	for name, value := range values {
		digest := config.PartDigest(value)
		r.parts[name] = Part{Name: name, Digest: digest, Value: value}
		r.values[digest] = value
	}
	return r
}

// snapshot decodes and validates the revision.
func (r *revision) snapshot() (*config.Snapshot, error) {
	values := make(map[string][]byte, len(r.parts))
	for name, p := range r.parts {
		values[name] = p.Value
	}
	document, err := config.DecodeParts(values)
	if err != nil {
		return nil, fmt.Errorf("configuration revision %d: %w", r.number, err)
	}
	s, err := config.NewSnapshot(document, r.number)
	if err != nil {
		return nil, fmt.Errorf("configuration revision %d: %w", r.number, err)
	}
	return s, nil
}

// partList returns the parts sorted by name. Only the parts for whose digest
// include returns true have a value.
func (r *revision) partList(include func(digest string) bool) []Part {
	out := make([]Part, 0, len(r.parts))
	for _, p := range r.parts {
		if !include(p.Digest) {
			p.Value = nil
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Part) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// digests returns the sorted digests of all values.
func (r *revision) digests() []string {
	out := make([]string, 0, len(r.values))
	for digest := range r.values {
		out = append(out, digest)
	}
	slices.Sort(out)
	return out
}

// hasValue reports whether the revision has the value with this digest. A nil
// revision has none.
func (r *revision) hasValue(digest string) bool {
	if r == nil {
		return false
	}
	_, ok := r.values[digest]
	return ok
}

// resolveParts returns the values of the parts by name, taking those that were
// not sent from base, which may be nil. missing holds the digests that neither
// has. The error is not nil if a value does not match its digest.
func resolveParts(parts []Part, base *revision) (values map[string][]byte, missing []string, err error) {
	values = make(map[string][]byte, len(parts))
	for _, p := range parts {
		switch {
		case len(p.Value) > 0:
			if config.PartDigest(p.Value) != p.Digest {
				return nil, nil, fmt.Errorf("configuration part %s: value does not match digest %s", p.Name, p.Digest)
			}
			values[p.Name] = p.Value
		case base.hasValue(p.Digest):
			values[p.Name] = base.values[p.Digest]
		default:
			missing = append(missing, p.Digest)
		}
	}
	return values, missing, nil
}
