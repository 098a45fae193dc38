package rank

import "github.com/cespare/xxhash/v2"

// First returns the member with the highest score for a subject, or "" if there is none.
//
// All processes with the same list of members choose the same one, and removing a member reassigns only that member's subjects.
func First(subject string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		s := score(subject, m)
		if best == "" || s > bestScore || s == bestScore && m < best {
			best, bestScore = m, s
		}
	}
	return best
}

// Top returns up to n members with the highest scores for a subject, in descending order of score.
func Top(subject string, members []string, n int) []string {
	remaining := append([]string(nil), members...)
	var top []string
	for len(top) < n && len(remaining) > 0 {
		best := First(subject, remaining)
		top = append(top, best)
		remaining = without(remaining, best)
	}
	return top
}

// without removes a member from a list in place.
func without(members []string, removed string) []string {
	kept := members[:0]
	for _, m := range members {
		if m != removed {
			kept = append(kept, m)
		}
	}
	return kept
}

func score(subject, member string) uint64 {
	var h xxhash.Digest
	h.Reset()
	// xxhash.Digest never returns an error on a write.
	_, _ = h.WriteString(subject)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(member)
	return mix(h.Sum64())
}

// mix distributes similar hashes over the whole range of values.
func mix(x uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= multiplier
	return x ^ x>>29
}

// Position returns a member's place from 0 to 1 among all members, over which these are spread evenly.
func Position(member string) float64 {
	return float64(score("position", member)>>positionShift) / float64(uint64(1)<<(64-positionShift))
}

// positionShift leaves as many bits of a score as a float64 holds.
const positionShift = 11
