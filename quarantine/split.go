package quarantine

import "slices"

const (
	// entryBytes is what an entry of an update takes in a message beside its parts and servers,
	// partBytes and serverBytes what each of them takes beside the part's id.
	entryBytes  = 64
	partBytes   = 3
	serverBytes = 9
)

// partsSize returns the bytes of the longest run of first parts that fits into maxBytes, and the
// number of these parts, at least one.
func partsSize(parts []string, maxBytes int) (bytes, count int) {
	for i, part := range parts {
		size := len(part) + partBytes
		if i > 0 && bytes+size > maxBytes {
			return bytes, i
		}
		bytes += size
	}
	return bytes, len(parts)
}

// splitter collects the entries of an update in messages of limited size.
type splitter struct {
	maxBytes int
	list     []Update
	// free is the number of bytes that the last message has left.
	free int
}

// next returns the message that takes an entry of the given size.
func (s *splitter) next(size int) *Update {
	if len(s.list) == 0 || size > s.free {
		s.list = append(s.list, Update{})
		s.free = s.maxBytes
	}
	s.free -= size
	return &s.list[len(s.list)-1]
}

// Split divides an update into ones that take at most maxBytes in a message, as far as single
// suspicions do. The parts of one loss may be divided: a node that gets only some of them doesn't
// count the loss.
func (u *Update) Split(maxBytes int) []Update {
	s := &splitter{maxBytes: maxBytes}
	for _, e := range u.Evidence {
		total := len(e.Parts)
		for parts := e.Parts; len(parts) > 0; {
			size, count := partsSize(parts, maxBytes-entryBytes)
			piece := e
			piece.Parts, piece.PartCount = parts[:count], 0
			if count < total {
				piece.PartCount = total
			}
			m := s.next(size + entryBytes)
			m.Evidence = append(m.Evidence, piece)
			parts = parts[count:]
		}
	}
	for _, c := range u.Clearances {
		m := s.next(len(c.Part) + partBytes + entryBytes)
		m.Clearances = append(m.Clearances, c)
	}
	for _, suspicion := range u.Suspicions {
		size, _ := partsSize(suspicion.Parts, MaxPartsBytes)
		m := s.next(size + len(suspicion.Servers)*serverBytes + entryBytes)
		m.Suspicions = append(m.Suspicions, suspicion)
	}
	return slices.Clip(s.list)
}
