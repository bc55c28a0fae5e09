package quarantine

import "slices"

// suspectedSet is the suspicions as requests read them. It is never changed.
type suspectedSet struct {
	// parts holds the parts of all suspicions, sets those of each one.
	parts map[string]bool
	sets  [][]string
}

// newSuspectedSet returns the set for the suspicions, whose parts are all in parts; nil if there are
// none. It keeps parts.
func newSuspectedSet(list []*Suspicion, parts map[string]bool) *suspectedSet {
	if len(list) == 0 {
		return nil
	}
	set := &suspectedSet{parts: parts}
	for _, s := range list {
		set.sets = append(set.sets, s.Parts)
	}
	return set
}

// matches reports whether a request with the given parts has all parts of a suspicion.
func (s *suspectedSet) matches(parts []string) bool {
	if s == nil {
		return false
	}
	var found []string
	for _, part := range parts {
		if s.parts[part] {
			found = append(found, part)
		}
	}
	return len(found) > 0 && slices.ContainsFunc(s.sets, func(set []string) bool { return containsAll(found, set) })
}
