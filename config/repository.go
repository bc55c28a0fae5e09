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
	// partPrefix starts the store keys of parts.
	partPrefix = "config/part/"
	// workspaceParts spreads workspaces over parts, so that no value reaches
	// the store's limit at several thousand workspaces.
	workspaceParts = 32
	basePart       = "base"
)

// ErrNoConfiguration means that the store holds no configuration yet.
var ErrNoConfiguration = errors.New("config: no configuration in the store")

// Head names the parts of one revision of the configuration.
type Head struct {
	// Token identifies the write; it decides after a lost answer.
	Token string `json:"token"`
	// Author names who applied the revision.
	Author string `json:"author"`
	// Parts maps the name of a part to the digest of its value.
	Parts map[string]string `json:"parts"`
	// Recent lists the heads before this one, the latest first.
	Recent []AppliedHead `json:"recent,omitempty"`
}

// AppliedHead identifies a head that was in force before.
type AppliedHead struct {
	Token    string         `json:"token"`
	Revision store.Revision `json:"revision"`
}

// maxRecent bounds Head.Recent. A writer whose answer was lost finds its change
// there if others have built on it before it reads back.
const maxRecent = 16

// Version is a revision of the configuration that was read or written.
type Version struct {
	Revision store.Revision
	Head     Head
}

// RaceError tells an operator that another change was applied first.
type RaceError struct {
	// Base is the revision that the operator edited.
	Base store.Revision
	// Current is the revision that won, and Author who applied it.
	Current store.Revision
	Author  string
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("the configuration was changed to revision %d by %q after revision %d was read; read it again and repeat the change", e.Current, e.Author, e.Base)
}

// Repository keeps the configuration in the store: a head record that names
// immutable parts. A revision is accepted when the head has been swapped.
type Repository struct {
	store store.Store
}

// NewRepository returns a repository over s.
func NewRepository(s store.Store) *Repository { return &Repository{store: s} }

// base holds everything but the workspaces.
type base struct {
	Objectives     Objectives      `json:"objectives"`
	Pools          []Pool          `json:"pools"`
	Services       []Service       `json:"services"`
	BackendServers []BackendServer `json:"backend_servers"`
	Rules          []Rule          `json:"rules,omitempty"`
}

// Split encodes a document as parts by name. Equal documents give equal parts.
func Split(d *Document) (map[string][]byte, error) {
	parts := make(map[string][]byte)
	raw, err := json.Marshal(base{d.Objectives, d.Pools, d.Services, d.BackendServers, d.Rules})
	if err != nil {
		return nil, err
	}
	parts[basePart] = raw
	groups := make(map[string][]Workspace)
	for _, w := range d.Workspaces {
		name := workspacePart(w.Name)
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

// Join decodes parts into a document, with workspaces in name order.
func Join(parts map[string][]byte) (*Document, error) {
	var d Document
	for name, raw := range parts {
		if name == basePart {
			var b base
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

func workspacePart(name string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return fmt.Sprintf("workspaces-%02d", h.Sum32()%workspaceParts)
}

// PartDigest returns the digest that names the value of a part.
func PartDigest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:16])
}

// Head returns the current head, or ErrNoConfiguration.
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

// DecodeHead decodes a head entry as a watch delivers it.
func DecodeHead(entry store.Entry) (Version, error) {
	v := Version{Revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &v.Head); err != nil {
		return Version{}, fmt.Errorf("config head: %w", err)
	}
	return v, nil
}

// Parts reads the parts of a head, except those in known, which maps a digest
// to a value that the caller has already.
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

// Load reads the current document with its version.
func (r *Repository) Load(ctx context.Context) (*Document, Version, error) {
	version, err := r.Head(ctx)
	if err != nil {
		return nil, Version{}, err
	}
	parts, err := r.Parts(ctx, version.Head, nil)
	if err != nil {
		return nil, Version{}, err
	}
	d, err := Join(parts)
	return d, version, err
}

// Apply checks the document and makes it the current configuration if the
// current revision is still base. It returns a *finding.Error if the document
// can't be used, a *RaceError if another change came first, and
// store.ErrAmbiguous if it can't be known whether the change was applied.
func (r *Repository) Apply(ctx context.Context, d *Document, baseRevision store.Revision, author string) (Version, error) {
	if _, err := Build(d, baseRevision); err != nil {
		return Version{}, err
	}
	parts, err := Split(d)
	if err != nil {
		return Version{}, err
	}
	previous, err := r.Head(ctx)
	if err != nil && !errors.Is(err, ErrNoConfiguration) {
		return Version{}, fmt.Errorf("%w: %s", store.ErrUnavailable, err.Error())
	}
	if previous.Revision != baseRevision {
		return Version{}, &RaceError{Base: baseRevision, Current: previous.Revision, Author: previous.Head.Author}
	}
	head := Head{Token: uuid.NewString(), Author: author, Parts: make(map[string]string, len(parts)), Recent: previous.recent()}
	for name, value := range parts {
		digest := PartDigest(value)
		head.Parts[name] = digest
		if previous.Head.Parts[name] == digest {
			continue
		}
		if err := r.putPart(ctx, name, digest, value); err != nil {
			return Version{}, err
		}
	}
	return r.swapHead(ctx, head, baseRevision)
}

// recent returns what a head that follows this version lists as Recent.
func (v Version) recent() []AppliedHead {
	if v.Revision == 0 {
		return nil
	}
	recent := append([]AppliedHead{{Token: v.Head.Token, Revision: v.Revision}}, v.Head.Recent...)
	return recent[:min(len(recent), maxRecent)]
}

// putPart writes an immutable part. A conflict means that the same content is
// there already, since the key holds the digest.
func (r *Repository) putPart(ctx context.Context, name, digest string, value []byte) error {
	_, err := r.store.Put(ctx, partKey(name, digest), value, 0, 0)
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

func (r *Repository) swapHead(ctx context.Context, head Head, baseRevision store.Revision) (Version, error) {
	raw, err := json.Marshal(head)
	if err != nil {
		return Version{}, err
	}
	revision, err := r.store.Put(ctx, HeadKey, raw, baseRevision, 0)
	if err == nil {
		return Version{Revision: revision, Head: head}, nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAmbiguous) {
		return Version{}, err
	}
	current, readErr := r.Head(ctx)
	if readErr != nil {
		return Version{}, err
	}
	lost := &RaceError{Base: baseRevision, Current: current.Revision, Author: current.Head.Author}
	if errors.Is(err, store.ErrConflict) {
		return Version{}, lost
	}
	return decide(head, baseRevision, current, lost)
}

// decide finds out what became of a head whose write had no answer, from the
// head that is there now and those that it lists as recent.
func decide(head Head, baseRevision store.Revision, current Version, lost *RaceError) (Version, error) {
	if current.Revision == baseRevision {
		// The write may still be on its way.
		return Version{}, store.ErrAmbiguous
	}
	// The list is complete if it reaches back to the base.
	complete := baseRevision == 0 && len(current.Head.Recent) < maxRecent
	for _, h := range append([]AppliedHead{{current.Head.Token, current.Revision}}, current.Head.Recent...) {
		if h.Token == head.Token {
			return Version{Revision: h.Revision, Head: head}, nil
		}
		complete = complete || h.Revision == baseRevision
	}
	if !complete {
		return Version{}, store.ErrAmbiguous
	}
	return Version{}, lost
}

func partKey(name, digest string) string { return partPrefix + name + "/" + digest }
