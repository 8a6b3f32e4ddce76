package placer

import "time"

const (
	// lostUpstreams is the number of upstreams of a zone that must go silent,
	// with none heard in between, before the path to the zone counts as cut.
	lostUpstreams = 2
	// zoneTrial is the pause between two requests that try a zone again.
	zoneTrial = 750 * time.Millisecond
)

// path is what this host knows of its path to a zone.
//
// It answers a zone that is cut off. Each of its upstreams would have to be
// found silent by a request of its own, which takes a second or more; there are
// more upstreams than a host sends requests meanwhile. The path counts as cut
// once two have gone silent and none was heard.
type path struct {
	// lost are the upstreams that have gone silent since one was heard.
	lost map[uint64]bool
	// next is when one request may try the path again.
	next time.Time
}

// silent notes that an upstream of the zone sent nothing.
func (p *path) silent(upstream uint64, now time.Time) {
	if p.lost == nil {
		p.lost = make(map[uint64]bool)
	}
	p.lost[upstream] = true
	if p.cut() {
		p.next = now.Add(zoneTrial)
	}
}

// heard notes that an upstream of the zone sent something.
func (p *path) heard() { p.lost = nil }

func (p *path) cut() bool { return len(p.lost) >= lostUpstreams }

// usable reports whether a request may be sent over the path.
func (p *path) usable(now time.Time) bool { return !p.cut() || !now.Before(p.next) }

// sent notes that a request is sent over the path.
func (p *path) sent(now time.Time) {
	if p.cut() {
		p.next = now.Add(zoneTrial)
	}
}
