package backends

import "github.com/cespare/xxhash/v2"

// rendezvousHash returns the weight of a server for an affinity key. It is the same on
// all nodes.
func rendezvousHash(affinityKey string, s *Server) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(affinityKey)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(s.ID)
	return d.Sum64()
}

const (
	// preferredServerCount is how many engines share the prompts with one affinity
	// key.
	preferredServerCount = 3
	// minAffinityTokens is the length of the shared parts from which a prompt goes to
	// its preferred servers only. An engine processes it in about 10 ms.
	minAffinityTokens = 512
)

// preferredServers returns the engines of a role that rendezvous hashing prefers for an
// affinity key, the first choice first. The result is the same on all nodes. Entries
// are nil if there are fewer engines or the key is empty.
func preferredServers(affinityKey string, servers []*Server, role Role, model string) (preferred [preferredServerCount]*Server) {
	if affinityKey == "" {
		return preferred
	}
	var hashes [preferredServerCount]uint64
	for _, s := range servers {
		if s.Role != role || !s.serves(model) {
			continue
		}
		hash := rendezvousHash(affinityKey, s)
		for i := range preferred {
			if preferred[i] == nil || hash > hashes[i] {
				copy(preferred[i+1:], preferred[i:preferredServerCount-1])
				copy(hashes[i+1:], hashes[i:preferredServerCount-1])
				preferred[i], hashes[i] = s, hash
				break
			}
		}
	}
	return preferred
}
