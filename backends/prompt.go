package backends

// Prompt describes the prompt of a request.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, and MaxOutputTokens the longest answer.
	Tokens          int
	MaxOutputTokens int
	// LengthHint is the caller's estimate of the answer in tokens; 0 if none.
	LengthHint int
	// Parts are the parts of the prompt in order. All but the last may be shared with
	// other requests.
	Parts []Part
}

// Part is one part of a prompt. Parts with the same id have the same content.
type Part struct {
	ID     string
	Tokens int
}

// SharedParts returns the parts that other requests may share.
func (p *Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedPartIDs returns the ids of the shared parts. It returns nil for a nil prompt.
func (p *Prompt) SharedPartIDs() []string {
	if p == nil {
		return nil
	}
	shared := p.SharedParts()
	ids := make([]string, len(shared))
	for i, part := range shared {
		ids[i] = part.ID
	}
	return ids
}

// OwnTokens returns the number of tokens that no other request shares. It is 0 if the
// caller states more shared tokens than the prompt has.
func (p *Prompt) OwnTokens() int {
	own := p.Tokens
	for _, part := range p.SharedParts() {
		own -= part.Tokens
	}
	return max(0, own)
}

// AffinityKey returns the id of the last shared part, or "" if nothing is shared. Requests
// with the same id are best served by the same engine, which has the part cached.
func (p *Prompt) AffinityKey() string {
	shared := p.SharedParts()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}
