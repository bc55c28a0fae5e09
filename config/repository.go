package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"sort"

	"github.com/google/uuid"

	"github.com/figweir/figweir/store"
)

const (
	// HeadKey is the store key of the configuration's head record.
	HeadKey = "config/head"
	// partPrefix is the prefix of the store keys of parts.
	partPrefix = "config/part/"
	// workspacePartCount is the number of parts that workspaces are hashed to.
	// It keeps every value below the store's size limit with several thousand
	// workspaces.
	workspacePartCount = 32
	basePart           = "base"
)

// ErrNoConfiguration means that no configuration has been stored yet.
var ErrNoConfiguration = errors.New("config: no configuration in the store")

// Head is the record that lists the parts of one revision of the configuration.
type Head struct {
	// Token is unique to one write. A writer whose response was lost recognizes
	// its own write by it.
	Token string `json:"token"`
	// Author is the operator who applied the revision.
	Author string `json:"author"`
	// Parts maps the name of each part to the digest of its value.
	Parts map[string]string `json:"parts"`
	// PreviousHeads lists the heads that preceded this one, newest first.
	PreviousHeads []PreviousHead `json:"recent,omitempty"`
	// MinRevision is the least revision that the head can have. It keeps revisions increasing
	// when the store was restored and gives its numbers out again.
	MinRevision store.Revision `json:"min_revision,omitempty"`
}

// PreviousHead identifies an earlier head.
type PreviousHead struct {
	Token    string         `json:"token"`
	Revision store.Revision `json:"revision"`
}

// maxPreviousHeads is the maximum length of Head.PreviousHeads. A writer whose
// response was lost finds its change there if other changes were applied on top
// of it before the writer reads the head again.
const maxPreviousHeads = 16

// Version is a head record with its revision.
type Version struct {
	// Revision orders the versions of the configuration. It is the store's number of the write,
	// but at least Head.MinRevision.
	Revision store.Revision
	// Position is the revision of the head in the store.
	Position store.Revision
	Head     Head
}

// newVersion returns the version of a head that was written at a position in the store.
func newVersion(head Head, position store.Revision) Version {
	return Version{Revision: max(head.MinRevision, store.Revision(position.Number())), Position: position, Head: head}
}

// ConflictError means that another change was applied first. Its text is meant for
// operators.
type ConflictError struct {
	// Base is the revision that the rejected change was made from.
	Base store.Revision
	// Current is the revision in the store, and Author is who applied it.
	Current store.Revision
	Author  string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration was changed to revision %d by %q after revision %d was read; read it again and repeat the change", e.Current, e.Author, e.Base)
}

// Repository persists the configuration in the store as immutable parts and a
// head record that lists them. A change is committed when the head record has
// been replaced by compare-and-swap.
type Repository struct {
	store store.Store
}

// NewRepository returns a repository that uses s.
func NewRepository(s store.Store) *Repository { return &Repository{store: s} }

// baseDocument is the part of a document that holds everything except the
// workspaces.
type baseDocument struct {
	Objectives     Objectives      `json:"objectives"`
	Pools          []Pool          `json:"pools"`
	Services       []Service       `json:"services"`
	BackendServers []BackendServer `json:"backend_servers"`
	Rules          []Rule          `json:"rules,omitempty"`
}

// EncodeParts encodes a document as parts, by part name. Equal documents give equal
// parts.
func EncodeParts(d *Document) (map[string][]byte, error) {
	parts := make(map[string][]byte)
	raw, err := json.Marshal(baseDocument{d.Objectives, d.Pools, d.Services, d.BackendServers, d.Rules})
	if err != nil {
		return nil, err
	}
	parts[basePart] = raw
	groups := make(map[string][]Workspace)
	for _, w := range d.Workspaces {
		name := workspacePartName(w.Name)
		groups[name] = append(groups[name], w)
	}
	for name, group := range groups {
		sort.Slice(group, func(i, j int) bool { return group[i].Name < group[j].Name })
		if parts[name], err = json.Marshal(group); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

// DecodeParts decodes parts into a document, with the workspaces sorted by name.
func DecodeParts(parts map[string][]byte) (*Document, error) {
	var d Document
	for name, raw := range parts {
		if name == basePart {
			var b baseDocument
			if err := json.Unmarshal(raw, &b); err != nil {
				return nil, fmt.Errorf("part %s: %w", name, err)
			}
			d.Objectives, d.Pools, d.Services = b.Objectives, b.Pools, b.Services
			d.BackendServers, d.Rules = b.BackendServers, b.Rules
			continue
		}
		var group []Workspace
		if err := json.Unmarshal(raw, &group); err != nil {
			return nil, fmt.Errorf("part %s: %w", name, err)
		}
		d.Workspaces = append(d.Workspaces, group...)
	}
	sort.Slice(d.Workspaces, func(i, j int) bool { return d.Workspaces[i].Name < d.Workspaces[j].Name })
	return &d, nil
}

func workspacePartName(name string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return fmt.Sprintf("workspaces-%02d", h.Sum32()%workspacePartCount)
}

// PartDigest returns the digest that identifies the value of a part: the first
// 16 bytes of its SHA-256, in hexadecimal.
func PartDigest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:16])
}

// Head returns the current head record, or ErrNoConfiguration if there is none.
func (r *Repository) Head(ctx context.Context) (Version, error) {
	entry, err := r.store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return Version{}, ErrNoConfiguration
	}
	if err != nil {
		return Version{}, err
	}
	return DecodeHead(entry)
}

// DecodeHead decodes the store entry of the head record.
func DecodeHead(entry store.Entry) (Version, error) {
	var head Head
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Version{}, fmt.Errorf("config head: %w", err)
	}
	return newVersion(head, entry.Revision), nil
}

// Parts returns the parts of a head by name. It reads from the store only those
// that are not in known, which maps digests to values that the caller already has.
func (r *Repository) Parts(ctx context.Context, head Head, known map[string][]byte) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(head.Parts))
	for name, digest := range head.Parts {
		if value, ok := known[digest]; ok {
			parts[name] = value
			continue
		}
		entry, err := r.store.Get(ctx, partKey(name, digest))
		if err != nil {
			return nil, fmt.Errorf("config part %s: %w", name, err)
		}
		parts[name] = entry.Value
	}
	return parts, nil
}

// Load returns the current document and its version, or ErrNoConfiguration.
func (r *Repository) Load(ctx context.Context) (*Document, Version, error) {
	version, err := r.Head(ctx)
	if err != nil {
		return nil, Version{}, err
	}
	parts, err := r.Parts(ctx, version.Head, nil)
	if err != nil {
		return nil, Version{}, err
	}
	d, err := DecodeParts(parts)
	return d, version, err
}

// Apply validates the document and makes it the current configuration if the
// current revision is still baseRevision. It returns a *finding.Error if the
// document is invalid, a *ConflictError if another change was applied first,
// store.ErrUnavailable if it can't read the current head, and store.ErrAmbiguous if
// it can't determine whether the change was applied.
func (r *Repository) Apply(ctx context.Context, d *Document, baseRevision store.Revision, author string) (Version, error) {
	if _, err := NewSnapshot(d, baseRevision); err != nil {
		return Version{}, err
	}
	parts, err := EncodeParts(d)
	if err != nil {
		return Version{}, err
	}
	previous, err := r.Head(ctx)
	if err != nil && !errors.Is(err, ErrNoConfiguration) {
		return Version{}, fmt.Errorf("%w: %s", store.ErrUnavailable, err.Error())
	}
	if previous.Revision != baseRevision {
		return Version{}, &ConflictError{Base: baseRevision, Current: previous.Revision, Author: previous.Head.Author}
	}
	head, err := r.putParts(ctx, previous, parts, author)
	if err != nil {
		return Version{}, err
	}
	head.MinRevision = previous.Revision + 1
	return r.swapHead(ctx, head, previous)
}

// WriteAgain writes a version that was acknowledged and that the store has lost: its head is lost,
// an older one of a copy from which the store was restored, or zero if it has none. It returns a
// *ConflictError if the store has another head by now, and the errors of Apply.
func (r *Repository) WriteAgain(ctx context.Context, parts map[string][]byte, revision store.Revision, author string, lost Version) (Version, error) {
	head, err := r.putParts(ctx, lost, parts, author)
	if err != nil {
		return Version{}, err
	}
	head.MinRevision = revision
	return r.swapHead(ctx, head, lost)
}

// putParts writes the parts that the previous version doesn't have. It returns a head with them.
func (r *Repository) putParts(ctx context.Context, previous Version, parts map[string][]byte, author string) (Head, error) {
	head := Head{Token: uuid.NewString(), Author: author, Parts: make(map[string]string, len(parts)), PreviousHeads: previous.nextPreviousHeads()}
	for name, value := range parts {
		digest := PartDigest(value)
		head.Parts[name] = digest
		if previous.Head.Parts[name] == digest {
			continue
		}
		if err := r.putPart(ctx, name, digest, value); err != nil {
			return Head{}, err
		}
	}
	return head, nil
}

// nextPreviousHeads returns the PreviousHeads of a head that succeeds this
// version.
func (v Version) nextPreviousHeads() []PreviousHead {
	if v.Revision == 0 {
		return nil
	}
	heads := append([]PreviousHead{{Token: v.Head.Token, Revision: v.Revision}}, v.Head.PreviousHeads...)
	return heads[:min(len(heads), maxPreviousHeads)]
}

// putPart writes an immutable part. A conflict means that the part is already
// stored with the same content, because its key contains the digest.
func (r *Repository) putPart(ctx context.Context, name, digest string, value []byte) error {
	_, err := r.store.Put(ctx, partKey(name, digest), value, 0, store.NoLease)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return nil
	}
	if errors.Is(err, store.ErrAmbiguous) {
		if _, err := r.store.Get(ctx, partKey(name, digest)); err == nil {
			return nil
		}
	}
	return fmt.Errorf("config part %s: %w", name, err)
}

// swapHead replaces the head record if it is still that of base. If
// the write fails with a conflict or an ambiguous result, it reads the record
// again to determine the outcome.
func (r *Repository) swapHead(ctx context.Context, head Head, base Version) (Version, error) {
	raw, err := json.Marshal(head)
	if err != nil {
		return Version{}, err
	}
	position, err := r.store.Put(ctx, HeadKey, raw, base.Position, store.NoLease)
	if err == nil {
		return newVersion(head, position), nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAmbiguous) {
		return Version{}, err
	}
	current, readErr := r.Head(ctx)
	if readErr != nil {
		return Version{}, err
	}
	conflict := &ConflictError{Base: base.Revision, Current: current.Revision, Author: current.Head.Author}
	if errors.Is(err, store.ErrConflict) {
		return Version{}, conflict
	}
	return resolveAmbiguousWrite(head, base.Revision, current, conflict)
}

// resolveAmbiguousWrite determines whether a head whose write had no response
// was stored. It looks for the token of the write in the current head and in
// the previous heads listed there.
func resolveAmbiguousWrite(head Head, baseRevision store.Revision, current Version, conflict *ConflictError) (Version, error) {
	if current.Revision == baseRevision {
		// The write may still be in flight.
		return Version{}, store.ErrAmbiguous
	}
	// A missing token proves that the write failed only if the list of previous
	// heads goes back to the base revision.
	complete := baseRevision == 0 && len(current.Head.PreviousHeads) < maxPreviousHeads
	for _, h := range append([]PreviousHead{{current.Head.Token, current.Revision}}, current.Head.PreviousHeads...) {
		if h.Token == head.Token {
			return Version{Revision: h.Revision, Head: head}, nil
		}
		complete = complete || h.Revision == baseRevision
	}
	if !complete {
		return Version{}, store.ErrAmbiguous
	}
	return Version{}, conflict
}

func partKey(name, digest string) string { return partPrefix + name + "/" + digest }
