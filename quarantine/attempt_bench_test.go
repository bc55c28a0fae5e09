package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSoundRequest measures what a sound request costs by the number of its shared parts,
// without evidence, with evidence against other parts, and with a suspicion of other parts.
func BenchmarkSoundRequest(b *testing.B) {
	for _, count := range []int{3, 20, 300} {
		parts := make([]string, count)
		for i := range parts {
			parts[i] = fmt.Sprintf("5c1e%04x", i)
		}
		for _, state := range []string{"none", "evidence", "suspicion"} {
			b.Run(fmt.Sprintf("parts=%d/%s", count, state), func(b *testing.B) {
				t := NewTracker(1)
				now := time.Now()
				switch state {
				case "evidence":
					for i := range uint64(200) {
						t.Crash(now, Evidence{Request: i, Server: i, Parts: []string{fmt.Sprint("rare", i), "bad"}, At: now})
					}
				case "suspicion":
					suspect(t, now, "bad", "worse")
				}
				now = now.Add(time.Second)
				b.ReportAllocs()
				for b.Loop() {
					t.Check(now, parts)
					a, _ := t.Start(parts, false, func() {})
					complete(a, now)
				}
			})
		}
	}
}
