package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// noticeSet holds the newest notice about each backend server. It is not safe
// for concurrent use.
type noticeSet struct {
	byName map[string]storedNotice
	// digest is the XOR of the hashes of all notices. Equal sets have equal
	// digests.
	digest uint64
}

type storedNotice struct {
	ServerNotice
	addedAt time.Time
}

func newNoticeSet() noticeSet { return noticeSet{byName: make(map[string]storedNotice)} }

// set creates a notice with the next version and reports whether the set changed.
func (n *noticeSet) set(name string, leaving bool, now time.Time) bool {
	old, ok := n.byName[name]
	if ok && old.Leaving == leaving {
		return false
	}
	return n.add(ServerNotice{Name: name, Version: old.Version + 1, Leaving: leaving}, now)
}

// add stores a received notice if it is newer than the known one and there is
// room for it, and reports whether it did.
func (n *noticeSet) add(s ServerNotice, now time.Time) bool {
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
	n.byName[s.Name] = storedNotice{s, now}
	n.digest ^= s.hash()
	return true
}

// recent returns the notices added within changeRelayTime, or every notice if
// all is set. The newest are first, at most maxNoticesPerMessage.
func (n *noticeSet) recent(now time.Time, all bool) []ServerNotice {
	var chosen []storedNotice
	for _, s := range n.byName {
		if all || now.Sub(s.addedAt) < changeRelayTime {
			chosen = append(chosen, s)
		}
	}
	slices.SortFunc(chosen, func(a, b storedNotice) int {
		if c := b.addedAt.Compare(a.addedAt); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	if len(chosen) > maxNoticesPerMessage {
		chosen = chosen[:maxNoticesPerMessage]
	}
	out := make([]ServerNotice, len(chosen))
	for i, s := range chosen {
		out[i] = s.ServerNotice
	}
	return out
}

// leaving returns the names of the servers that are leaving.
func (n *noticeSet) leaving() map[string]struct{} {
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
