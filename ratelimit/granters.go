package ratelimit

import "github.com/cespare/xxhash/v2"

// granterCount is how many nodes grant permits for a server: one, and two that replace it.
const granterCount = 3

// Granters returns those of the given nodes that grant permits for a server, the first choice
// first, by rendezvous hashing. Nodes with the same list choose the same granters.
func Granters(server uint64, nodes []string) []string {
	var best [granterCount]string
	var hashes [granterCount]uint64
	n := 0
	for _, node := range nodes {
		hash := granterHash(server, node)
		for i := range best {
			if i < n && hash <= hashes[i] {
				continue
			}
			copy(best[i+1:], best[i:granterCount-1])
			copy(hashes[i+1:], hashes[i:granterCount-1])
			best[i], hashes[i] = node, hash
			n = min(n+1, granterCount)
			break
		}
	}
	return best[:n:n]
}

// granterHash returns the rendezvous hash of a server and a node.
func granterHash(server uint64, node string) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(server >> (8 * i))
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(node)
	return d.Sum64()
}
