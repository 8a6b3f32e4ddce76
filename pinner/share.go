package pinner

import (
	"github.com/cespare/xxhash/v2"

	"foxtailwall/declarer"
)

// Assigned reports whether the session is among the share, 0 to 1, of sessions
// that get the version of a rollout. A session in a share is in every larger
// share too. Different rollouts select sessions independently of each other.
func Assigned(r declarer.VersionRef, session string, share float64) bool {
	return hashFraction(r, session) < share
}

// hashFraction hashes the version and session uniformly to [0, 1).
func hashFraction(r declarer.VersionRef, session string) float64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Model, r.Version, session} {
		// Writing to a digest cannot fail.
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return float64(d.Sum64()>>11) / (1 << 53)
}
