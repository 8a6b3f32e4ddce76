package placer

import (
	"math/rand/v2"
	"time"

	"foxtailwall/throttler"
	"foxtailwall/tracker"
)

const (
	// coldWindow is the time within which the bound on requests to a cold upstream
	// holds.
	coldWindow = time.Second
	// defaultColdOverage and defaultColdSlack are the bound of Settings without one.
	defaultColdOverage = 1.5
	defaultColdSlack   = 5
	// listDelay is how long after an upstream has answered again a list must have been
	// read to tell that it is not cold: the list is made from earlier data, and the time
	// at which the leader read it is known less the time of the answer's transfer.
	listDelay = 500 * time.Millisecond
	// restartListDelay is the same for an upstream whose process has certainly ended.
	// Lists lag by up to 3 s, and an older one still says that it is not cold.
	restartListDelay = 3 * time.Second
	// repeatedFailureTime is the time after which a second failure, with no response in
	// between, counts as the end of the process. A lost connection alone does not.
	repeatedFailureTime = 500 * time.Millisecond
	// reportDelay is the time after a failure within which other hosts are told of it,
	// and sinceReceivedError the largest error of the times at which other hosts
	// received data.
	reportDelay        = 700 * time.Millisecond
	sinceReceivedError = 300 * time.Millisecond
	// bufferedTime is how long data that an upstream sent before it ended may be read
	// later.
	bufferedTime = 300 * time.Millisecond
	// A host without a permit for any upstream sends one request to a cold one at
	// intervals of coldTrialTime for each host and upstream, at least minColdTrialTime,
	// so that it learns that upstreams are back although the leader is unavailable.
	// All such hosts together add a quarter of a request per second.
	coldTrialTime    = 4 * time.Second
	minColdTrialTime = 10 * time.Second
	// A host that has not exchanged loads for isolatedTime does not learn of other hosts'
	// failures. One of its own suffices there, and counts for the upstreams of the zone
	// that have not sent it data for as long. If it has no answer of the leader either, an
	// upstream that has not sent it data for as long may have restarted unnoticed.
	isolatedTime = time.Second
	// outagesDelay is the time after the first contact within which a host that was
	// isolated is told of the outages that it has missed: the leader answers every 0.4 s.
	outagesDelay = 700 * time.Millisecond
	// maxColdChanges bounds the upstreams that TakeColdChanges names.
	maxColdChanges = 8
)

type (
	// ColdRate is the number of requests that an upstream of a service tolerates after
	// its start.
	ColdRate struct {
		// PerSecond is the number of requests per second from all hosts together; zero
		// means that upstreams of the service are never cold.
		PerSecond float64
		// Start is how long an upstream is cold after its start.
		Start time.Duration
	}

	// ColdChanges says what has changed since the last call of TakeColdChanges.
	ColdChanges struct {
		// Became and Ceased are the IDs of upstreams that count as cold and no longer do,
		// at most maxColdChanges each; MoreBecame and MoreCeased are the numbers of
		// further ones.
		Became, Ceased         []string
		MoreBecame, MoreCeased int
		// Sent is the number of requests sent to cold upstreams, and Withheld how often a
		// request that was sent passed over a cold upstream for lack of a permit.
		Sent, Withheld int64
	}

	// coldState is what the choice among cold upstreams needs besides the upstreams.
	coldState struct {
		rates map[string]ColdRate
		// turn rotates the ranks of hosts.
		turn int
		// sent has the services to which this host has sent requests.
		sent           map[string]bool
		requests, held int64
		// endedAt is when this host last learned that nothing listened at an upstream.
		endedAt time.Time
		// nextTrial is when a host without permits may next send a request, zero if it
		// has some.
		nextTrial time.Time
		// contactAt is when this host last heard of other hosts from the leader, zero if
		// it never has. contactSince is when it first did after it was isolated, and lostAt
		// when it last did before.
		contactAt, contactSince, lostAt time.Time
	}

	// coldChoice is what a choice has found out about cold upstreams.
	coldChoice struct {
		// since and uninformed are what Placer.uninformed has returned.
		since      time.Time
		uninformed bool
		// withheld has those that were passed over for lack of a permit.
		withheld []*upstream
		// permitted means that this host has a permit for another one.
		permitted bool
		// onlyWithheld means that there are no other upstreams, and trial that the chosen
		// one is this host's trial.
		onlyWithheld, trial bool
	}

	// coldness is what this host knows of an upstream's start. It ends with the
	// upstream's incarnation.
	coldness struct {
		// unlistedSince is when the upstream was first listed, zero once a list has said
		// how long it stays cold.
		unlistedSince time.Time
		// until is when it is warm by the list or its own word, said at saidAt.
		until, saidAt time.Time
		// suspectedAt is when it was last found to be possibly cold, zero if it is not.
		suspectedAt time.Time
		// restarted means that its process has certainly ended.
		restarted bool
		// lostAfter is the earliest time at which its process may have ended. Zero means
		// that it may be cold without a restart.
		lostAfter time.Time
		// answeredAt is when any host first received data after suspectedAt.
		answeredAt time.Time
		// failedAt is when this host last failed to reach it, endedAt when nothing listened
		// then, and outageAt the time of the newest outage that is known.
		failedAt, endedAt, outageAt time.Time
		// toldAt is when another host last said that nothing listened, and inferredAt when
		// this host took it for restarted with its zone, zero if that was wrong.
		toldAt, inferredAt time.Time
		// unverifiedAt is when this host last sent it a request while it might have
		// restarted unnoticed: data that arrives then does not tell that it is warm.
		unverifiedAt time.Time
		// reported is what TakeColdChanges last said.
		reported bool
		pace     throttler.Pace
	}
)

// SetColdRates replaces the rates by service. Services without one have no cold
// upstreams.
func (p *Placer) SetColdRates(rates map[string]ColdRate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold.rates = rates
}

// SetColdTurn sets the number by which the ranks of all hosts are rotated at cold
// upstreams, so that each host is a sender at times.
func (p *Placer) SetColdTurn(turn int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold.turn = turn
	p.recordContact(p.settings.Clock.Now())
}

// recordContact records that the leader has answered. The caller holds mu.
func (p *Placer) recordContact(now time.Time) {
	c := &p.cold
	if !c.contactAt.IsZero() && now.Sub(c.contactAt) > isolatedTime {
		c.contactSince, c.lostAt = now, c.contactAt
	}
	c.contactAt = now
}

// uninformed reports whether this host does not know which upstreams have restarted since
// the returned time: it is isolated from the other hosts, or was so until just now. The
// caller holds mu.
func (p *Placer) uninformed(now time.Time) (since time.Time, ok bool) {
	c := &p.cold
	switch {
	case len(c.rates) == 0 || c.contactAt.IsZero() || p.hosts <= 1:
		return time.Time{}, false
	case now.Sub(c.contactAt) > isolatedTime:
		return c.contactAt, true
	default:
		return c.lostAt, now.Sub(c.contactSince) < outagesDelay
	}
}

// mayHaveRestarted reports whether the upstream may have restarted while this host was
// uninformed since the given time.
func (u *upstream) mayHaveRestarted(since, now time.Time) bool {
	return u.cold.unverifiedAt.After(since) || now.Sub(u.lastReceived) > isolatedTime
}

// SetColdTimes records what a list of upstreams, read at the time, says of how long
// upstreams stay cold, by the hash of their keys. Those that are not named are not cold.
func (p *Placer) SetColdTimes(left map[uint64]time.Duration, readAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			u.cold.list(left[u.key], readAt)
		}
	}
}

// ColdTimes returns the argument of SetColdTimes for a list.
func ColdTimes(list []tracker.Upstream) map[uint64]time.Duration {
	left := make(map[uint64]time.Duration)
	for _, u := range list {
		if u.ColdLeft > 0 {
			left[u.Key().Hash()] = u.ColdLeft
		}
	}
	return left
}

// RecordColdTime records how long the upstream says that it stays cold, zero if it is not.
func (p *Placer) RecordColdTime(key tracker.Key, left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if u.Key() == key {
				u.cold.clear()
				u.cold.unlistedSince, u.cold.until, u.cold.saidAt = time.Time{}, now.Add(left), now
			}
		}
	}
}

// Cold reports whether an upstream of the service counts as cold, so that a request
// without an upstream may have been withheld from it. next is the time until this host
// has a permit for one, negative if it gets none.
func (p *Placer) Cold(service string) (cold bool, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	next = -1
	for _, u := range p.pools[service].members() {
		if u.Leaving || u.withdrawal.refuses(now) || p.evacuated[u.Zone] || !p.isCold(u, now) {
			continue
		}
		cold = true
		if d, ok := u.cold.pace.Wait(p.coldLimit(u), now); ok && p.rank >= 0 && (next < 0 || d < next) {
			next = d
		}
	}
	return cold, next
}

// TakeColdChanges returns what has changed since the last call.
func (p *Placer) TakeColdChanges() ColdChanges {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	c := ColdChanges{Sent: p.cold.requests, Withheld: p.cold.held}
	p.cold.requests, p.cold.held = 0, 0
	add := func(ids []string, more int, id string) ([]string, int) {
		if len(ids) >= maxColdChanges {
			return ids, more + 1
		}
		return append(ids, id), more
	}
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			cold := p.isCold(u, now)
			if cold == u.cold.reported {
				continue
			}
			u.cold.reported = cold
			if cold {
				c.Became, c.MoreBecame = add(c.Became, c.MoreBecame, u.ID)
			} else {
				c.Ceased, c.MoreCeased = add(c.Ceased, c.MoreCeased, u.ID)
			}
		}
	}
	return c
}

// Cold reports whether the upstream counted as cold when it was chosen.
func (t *Ticket) Cold() bool { return t.cold }

// isCold reports whether the upstream counts as cold. The caller holds mu.
func (p *Placer) isCold(u *upstream, now time.Time) bool {
	since, ok := p.uninformed(now)
	return p.coldAt(u, ok && u.mayHaveRestarted(since, now), now)
}

// coldAt is isCold; restarted is what mayHaveRestarted says while this host is uninformed.
func (p *Placer) coldAt(u *upstream, restarted bool, now time.Time) bool {
	if c := &u.cold; !restarted && c.suspectedAt.IsZero() && c.unlistedSince.IsZero() && c.until.IsZero() {
		return false
	}
	rate, ok := p.cold.rates[u.Service]
	return ok && rate.PerSecond > 0 && (restarted || u.cold.isCold(rate.Start, now))
}

// newColdChoice begins a choice. Its memory is used until the next one. The caller holds mu.
func (p *Placer) newColdChoice(now time.Time) coldChoice {
	c := coldChoice{withheld: p.memory.withheld[:0]}
	c.since, c.uninformed = p.uninformed(now)
	return c
}

// withheld reports whether the upstream is cold and this host has no permit for it now,
// and adds that to c. The caller holds mu.
func (p *Placer) withheld(c *coldChoice, u *upstream, now time.Time) bool {
	if !p.coldAt(u, c.uninformed && u.mayHaveRestarted(c.since, now), now) {
		return false
	}
	if p.rank >= 0 && u.cold.pace.Allows(p.coldLimit(u), now) {
		c.permitted = true
		return false
	}
	c.withheld = append(c.withheld, u)
	p.memory.withheld = c.withheld
	return true
}

// coldLimit returns the limit that the hosts share for the upstream while it is cold.
func (p *Placer) coldLimit(u *upstream) throttler.Limit {
	return throttler.Limit{
		PerSecond: p.cold.rates[u.Service].PerSecond, Hosts: p.hosts, Rank: p.coldRankAt(u),
		Window: coldWindow, Factor: p.settings.ColdOverage, Slack: p.settings.ColdSlack, Hold: true,
	}
}

// coldRankAt is rankAt, rotated by the leader's turn.
func (p *Placer) coldRankAt(u *upstream) int {
	rank := p.rankAt(u)
	if rank < 0 {
		return rank
	}
	return rank + p.cold.turn
}

// coldTrial returns a cold upstream for a host that has no permit for any, and no other
// upstream, if its next trial is due. The trial is used by recordChoice. The caller holds
// mu.
func (p *Placer) coldTrial(c *coldChoice, now time.Time) *upstream {
	c.onlyWithheld = len(c.withheld) > 0
	if !c.onlyWithheld || c.permitted || p.cold.nextTrial.IsZero() || now.Before(p.cold.nextTrial) {
		return nil
	}
	c.trial = true
	return c.withheld[rand.IntN(len(c.withheld))]
}

// recordChoice records what the choice for a request or a probe has found out about cold
// upstreams; sent says whether there was an upstream for it. Estimates do not call it. The
// caller holds mu.
func (p *Placer) recordChoice(c coldChoice, sent bool, now time.Time) {
	if sent {
		p.cold.held += int64(len(c.withheld))
	}
	if c.permitted {
		p.cold.nextTrial = time.Time{}
	}
	if c.trial || c.onlyWithheld && p.cold.nextTrial.IsZero() {
		interval := max(minColdTrialTime, coldTrialTime*time.Duration(max(p.hosts, 1))/time.Duration(len(c.withheld)))
		p.cold.nextTrial = now.Add(time.Duration((0.5 + rand.Float64()) * float64(interval)))
	}
}

// beginCold sets what is known of an upstream that is listed for the first time. before
// is the pool of its service in the list before, nil if there was none.
func (p *Placer) beginCold(u *upstream, listed tracker.Upstream, before *pool) {
	now := p.settings.Clock.Now()
	u.cold.unlistedSince = now
	u.cold.pace.Reset(throttler.Phase(p.settings.Host, listed.ID), now)
	if before != nil && p.cold.sent[listed.Service] {
		u.cold.suspect(now, time.Time{}, false)
	}
}

// countCold counts an attempt that begins. The caller holds mu.
func (p *Placer) countCold(t *Ticket, now time.Time) {
	if p.cold.sent == nil {
		p.cold.sent = make(map[string]bool)
	}
	p.cold.sent[t.up.Service] = true
	t.sentAt = now
	t.cold = p.takeColdPermit(t.up, now)
}

// takeColdPermit uses a permit if the upstream is cold, and reports whether it is. The
// caller holds mu.
func (p *Placer) takeColdPermit(u *upstream, now time.Time) bool {
	if !p.isCold(u, now) {
		return false
	}
	u.cold.pace.Take()
	p.cold.requests++
	if since, ok := p.uninformed(now); ok && u.mayHaveRestarted(since, now) {
		u.cold.unverifiedAt = now
	}
	return true
}

// recordColdReceived records that data arrived for the attempt. The caller holds mu.
func (t *Ticket) recordColdReceived(now time.Time) {
	t.receivedAt = now
	c := &t.up.cold
	switch {
	case c.suspectedAt.IsZero():
	case !c.lostAfter.IsZero() && t.sentAt.Before(c.lostAfter) && now.Sub(c.suspectedAt) > bufferedTime:
		// The same process has run this attempt all the time.
		c.clear()
		c.inferredAt = time.Time{}
	case !t.sentAt.Before(c.suspectedAt):
		c.answer(now)
	}
}

// recordColdOutcome records how the attempt ended. The caller holds mu.
func (t *Ticket) recordColdOutcome(outcome Outcome, now time.Time) {
	lostAfter := later(t.sentAt, t.receivedAt)
	switch outcome {
	case Succeeded, Failed, Busy:
		t.recordColdReceived(now)
	case NotListening, Misdirected:
		t.up.cold.endedAt, t.p.cold.endedAt = now, now
		t.up.cold.suspect(now, lostAfter, true)
		t.p.suspectFailedZone(t.up.Zone, now)
	case Refused, Silent, Stale:
		t.up.cold.failedAt = now
		t.up.cold.suspect(now, lostAfter, false)
		t.p.suspectFailedZone(t.up.Zone, now)
	case Broken, Reset, Unsent:
		t.up.cold.suspect(now, lostAfter, false)
	case Abandoned:
	}
}

// service returns the name of the pool's service.
func (pl *pool) service() string { return pl.upstreams[0].Service }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isCold reports whether the upstream counts as cold; start is how long it is cold after
// its start.
func (c *coldness) isCold(start time.Duration, now time.Time) bool {
	if !c.unlistedSince.IsZero() && now.Sub(c.unlistedSince) >= start {
		c.unlistedSince = time.Time{}
	}
	if !c.answeredAt.IsZero() && now.Sub(c.answeredAt) >= start {
		c.clear()
	}
	return !c.unlistedSince.IsZero() || now.Before(c.until) || !c.suspectedAt.IsZero()
}

// suspect records that the upstream may be cold from now on. restarted means that its
// process has certainly ended, not before lostAfter.
func (c *coldness) suspect(now, lostAfter time.Time, restarted bool) {
	c.outageAt = later(c.outageAt, now)
	first := c.suspectedAt.IsZero()
	repeated := !first && c.answeredAt.IsZero() && now.Sub(c.suspectedAt) >= repeatedFailureTime
	c.restarted = c.restarted || restarted || repeated
	if first || lostAfter.Before(c.lostAfter) {
		c.lostAfter = lostAfter
	}
	if first || c.restarted || !c.answeredAt.IsZero() {
		c.suspectedAt = now
	}
	c.answeredAt = time.Time{}
}

// answer records that the upstream responds again.
func (c *coldness) answer(at time.Time) {
	if c.answeredAt.IsZero() {
		c.answeredAt = at
	}
}

// recordElsewhere records that another host received data at about the given time.
func (c *coldness) recordElsewhere(at, now time.Time) {
	if !c.suspectedAt.IsZero() && at.Sub(c.suspectedAt) > sinceReceivedError {
		c.answer(now)
	}
}

// clear records that the upstream has not become cold.
func (c *coldness) clear() {
	c.suspectedAt, c.answeredAt, c.lostAfter, c.restarted = time.Time{}, time.Time{}, time.Time{}, false
}

// list records what a list that was read at the time says.
func (c *coldness) list(left time.Duration, readAt time.Time) {
	c.unlistedSince = time.Time{}
	switch {
	case readAt.Before(c.saidAt):
	case left > 0:
		c.until, c.saidAt = readAt.Add(left), readAt
	case readAt.Sub(c.saidAt) >= restartListDelay:
		c.until = time.Time{}
	}
	delay := listDelay
	if c.restarted {
		delay = restartListDelay
	}
	if !c.answeredAt.IsZero() && readAt.Sub(c.answeredAt) >= delay {
		c.clear()
	}
}
