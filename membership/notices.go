package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// notices holds the newest notice about each backend server. It is not safe for
// concurrent use.
type notices struct {
	byName map[string]notice
	// digest is the exclusive-or of the hashes of all notices, so that two equal
	// sets have the same one.
	digest uint64
}

type notice struct {
	ServerNotice
	learned time.Time
}

func newNotices() notices { return notices{byName: make(map[string]notice)} }

// set makes a new notice and reports whether it changed anything.
func (n *notices) set(name string, leaving bool, now time.Time) bool {
	old, ok := n.byName[name]
	if ok && old.Leaving == leaving {
		return false
	}
	return n.add(ServerNotice{Name: name, Version: old.Version + 1, Leaving: leaving}, now)
}

// add takes over a notice if it is newer and reports whether it is.
func (n *notices) add(s ServerNotice, now time.Time) bool {
	old, ok := n.byName[s.Name]
	if ok && (s.Version < old.Version || s.Version == old.Version && (old.Leaving || !s.Leaving)) {
		return false
	}
	if !ok && len(n.byName) >= maxKnownNotices {
		return false
	}
	if ok {
		n.digest ^= old.hash()
	}
	n.byName[s.Name] = notice{s, now}
	n.digest ^= s.hash()
	return true
}

// recent returns the notices learned in the last seconds; all returns every
// notice. Both start with the newest and are bounded.
func (n *notices) recent(now time.Time, all bool) []ServerNotice {
	var chosen []notice
	for _, s := range n.byName {
		if all || now.Sub(s.learned) < changeSpread {
			chosen = append(chosen, s)
		}
	}
	slices.SortFunc(chosen, func(a, b notice) int {
		if c := b.learned.Compare(a.learned); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	if len(chosen) > maxNotices {
		chosen = chosen[:maxNotices]
	}
	out := make([]ServerNotice, len(chosen))
	for i, s := range chosen {
		out[i] = s.ServerNotice
	}
	return out
}

// leaving returns the names of the servers that get no new work.
func (n *notices) leaving() map[string]struct{} {
	out := make(map[string]struct{})
	for name, s := range n.byName {
		if s.Leaving {
			out[name] = struct{}{}
		}
	}
	return out
}

func (s ServerNotice) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.Name)
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:8], s.Version)
	if s.Leaving {
		b[8] = 1
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}
