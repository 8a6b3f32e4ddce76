// Package throttler paces the requests of one host to an upstream that accepts a
// limited number of requests per second from all hosts together.
//
// The limit is divided among some of the hosts, its senders, as permits that come
// at regular intervals. All hosts are senders if they are few. Of many, only as
// many are that their permits cannot exceed the bound whenever they come; which
// ones follows from the ranks that the leader of the control group gives to hosts,
// and differs between upstreams. Unused permits expire after an eighth of the
// limit's window, so that senders rarely send at once after a quiet time; if
// Limit.Hold is set, each sender keeps one.
//
// The bound, the window in which it holds and the permits' lifetime are part of the
// Limit, so that limits which upstreams name and those of cold upstreams are kept in
// the same way.
//
// Package limiter admits callers' requests, and package budgeter limits retries;
// this package protects a single upstream.
//
// # Usage
//
//	var p throttler.Pace
//	p.Reset(throttler.Phase(host, upstream), clock.Now())
//	if p.Allows(throttler.Limit{PerSecond: 2.5, Hosts: 300, Rank: 17}, clock.Now()) {
//		p.Take()
//		// Send one request.
//	}
package throttler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// The bound of a Limit that has none.
	defaultWindow = 4 * time.Second
	defaultFactor = 1.5
	defaultSlack  = 5

	// permitFraction is the part of the window for which a permit may be used. With
	// Limit.Hold it allows for requests that take unequal times to the upstream.
	permitFraction = 0.125
	// minPerSecond is the lowest rate that is used. It lets hosts notice that a
	// limit of zero has ended.
	minPerSecond = 0.25
)

type (
	// Limit is a rate limit that several hosts share.
	Limit struct {
		// PerSecond is the number of requests per second from all hosts together.
		PerSecond float64
		// Hosts is the number of hosts that share it, at least 1.
		Hosts int
		// Rank is this host's position among them, from 0, rotated by a number that
		// differs between upstreams; negative if unknown.
		Rank int
		// Window, Factor and Slack give the bound: the hosts together send at most
		// Factor times PerSecond times the seconds of Window, plus Slack requests,
		// within any Window. If Window is zero, they are 4 s, 1.5 and 5.
		Window        time.Duration
		Factor, Slack float64
		// Hold says that an unused permit does not expire. No further one is added to it.
		// Senders with a small share could otherwise rarely use theirs.
		Hold bool
	}

	// Pace counts the permits of one host for one upstream. Its zero value is ready
	// to use and starts with the phase 0. It is not safe for concurrent use.
	Pace struct {
		// permits is the number of permits; its fraction is the progress to the next.
		permits float64
		updated time.Time
	}
)

// Phase returns a number from 0 to 1 that differs between hosts and upstreams, for
// Reset.
func Phase(host, upstream string) float64 {
	d := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(host)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(upstream)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Reset drops all permits. The phase, from 0 to 1, is the part of the interval to
// the next permit that has passed.
func (p *Pace) Reset(phase float64, now time.Time) { p.permits, p.updated = phase, now }

// Allows reports whether a request may be sent now.
func (p *Pace) Allows(l Limit, now time.Time) bool {
	if p.updated.IsZero() {
		p.updated = now
	}
	l = l.withDefaults()
	perSecond := l.share()
	p.permits += perSecond * max(now.Sub(p.updated), 0).Seconds()
	p.updated = now
	if l.Hold {
		p.permits = min(p.permits, 1)
		return p.permits >= 1 && perSecond > 0
	}
	if extra := p.permits - 1 - perSecond*l.permitTTL().Seconds(); extra > 0 {
		p.permits -= math.Ceil(extra)
	}
	return p.permits >= 1
}

// Wait returns the time until Allows returns true, if no other request takes the permit;
// ok is false if the host is no sender.
func (p *Pace) Wait(l Limit, now time.Time) (d time.Duration, ok bool) {
	if p.Allows(l, now) {
		return 0, true
	}
	perSecond := l.withDefaults().share()
	if perSecond <= 0 {
		return 0, false
	}
	return time.Duration((1 - p.permits) / perSecond * float64(time.Second)), true
}

// Take uses a permit. Allows must have returned true.
func (p *Pace) Take() { p.permits-- }

// withDefaults returns the limit with the default bound, if it has none, and the lowest
// rate that is used for limits whose end hosts must notice.
func (l Limit) withDefaults() Limit {
	if l.Window <= 0 {
		l.Window, l.Factor, l.Slack = defaultWindow, defaultFactor, defaultSlack
	}
	if !l.Hold {
		l.PerSecond = max(l.PerSecond, minPerSecond)
	}
	return l
}

// permitTTL returns how long a permit may be used.
func (l Limit) permitTTL() time.Duration {
	return time.Duration(permitFraction * float64(l.Window))
}

// share returns the number of permits per second of this host, zero if it is not a
// sender.
func (l Limit) share() float64 {
	perSecond, hosts := l.PerSecond, max(l.Hosts, 1)
	// Each sender may send one request more than its share of a window, because its
	// permits need not begin with the window and are kept for permitTTL.
	bound := l.Factor*perSecond*l.Window.Seconds() + l.Slack
	// A small bound leaves less than PerSecond to a single sender.
	perSecond = max(0, min(perSecond, (bound-1)/(l.Window+l.permitTTL()).Seconds()))
	spare := bound - perSecond*(l.Window+l.permitTTL()).Seconds()
	if float64(hosts) <= spare {
		return perSecond / float64(hosts)
	}
	// Half of that is left for hosts that become senders within a window.
	stride := int(math.Ceil(float64(hosts) / max(1, math.Floor(spare/2))))
	if l.Rank < 0 || l.Rank%hosts%stride != 0 {
		return 0
	}
	senders := (hosts + stride - 1) / stride
	return perSecond / float64(senders)
}
