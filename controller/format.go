package controller

// Format is the version of log entries that this release applies. Version 0 is commit
// 4610b62; version 1 adds evacuations and the holds and trials of isolations.
const Format uint32 = 1

// EvacuationFormat is the version from which members publish evacuations in the view.
const EvacuationFormat uint32 = 1

// RequiredFormat returns the version of log entries that a member must apply for the
// items to have the same effect there. The source of the versions is
// docs/design/mixed-releases.md.
func RequiredFormat(items ...Item) uint32 {
	for _, it := range items {
		if it.Evacuation != nil || it.Isolation != nil && (it.Isolation.Trial != 0 || it.Isolation.Served) {
			return 1
		}
	}
	return 0
}
