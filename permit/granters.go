package permit

import "github.com/cespare/xxhash/v2"

// GranterCount is how many nodes grant permits for a key: one, and two standbys.
const GranterCount = 3

// Granters returns those of the given nodes that grant permits for a key, the first choice first,
// by rendezvous hashing. Nodes with the same list choose the same granters.
func Granters(key uint64, nodes []string) []string {
	var best [GranterCount]string
	var hashes [GranterCount]uint64
	n := 0
	for _, node := range nodes {
		hash := granterHash(key, node)
		for i := range best {
			if i < n && hash <= hashes[i] {
				continue
			}
			copy(best[i+1:], best[i:GranterCount-1])
			copy(hashes[i+1:], hashes[i:GranterCount-1])
			best[i], hashes[i] = node, hash
			n = min(n+1, GranterCount)
			break
		}
	}
	return best[:n:n]
}

// granterHash returns the rendezvous hash of a key and a node.
func granterHash(key uint64, node string) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(key >> (8 * i))
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// Jitter returns a number in [0, 1) that depends only on its arguments. It spreads the retries of
// requesters that were told to wait for the same permit.
func Jitter(incarnation, id uint64) float64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(id>>(8*i)), byte(incarnation>>(8*i))
	}
	const steps = 1 << 16
	return float64(xxhash.Sum64(b[:])%steps) / steps
}
