package replicator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"foxtailwall/journaler"
	"foxtailwall/timekeeper"
)

type (
	// recordingMachine is a Machine whose state is the list of applied commands.
	recordingMachine struct{ ids []uint64 }

	// host is a simulated host with its own disk and clock.
	host struct {
		sim         *sim
		peer        Peer
		fs          *journaler.Memory
		clockRate   float64
		group       *Group
		machine     *recordingMachine
		inbox       []*Message
		calls       []*call
		pausedUntil time.Duration
		downUntil   time.Duration
		boots       int
		// diskLost says that the disk was lost or the host replaced, so that it may
		// not form a group.
		diskLost bool
	}

	packet struct {
		deliverAt time.Duration
		from, to  int
		message   *Message
	}

	// operation is one call of a client. position is the length of the command
	// list when it took effect, and minPosition is maxPosition when it started.
	operation struct {
		id          uint64
		read        bool
		pendingCall *call
		target      *host
		machine     *recordingMachine
		deadline    time.Duration
		minPosition int
		position    int
		done        bool
		acked       bool
		notRun      bool
	}

	// sim simulates members, network, disks and clients from one seed.
	sim struct {
		rng      *rand.Rand
		now      time.Duration
		hosts    []*host
		peers    []Peer
		packets  []packet
		cutLinks map[[2]int]bool
		// extraDelay is the additional delay from one host to another.
		extraDelay map[[2]int]time.Duration
		lossRate   float64
		operations []*operation
		pending    []*operation
		// maxPosition is the largest position of an acknowledged operation.
		maxPosition    int
		wipes          int
		countedRepairs int
		// faultRarity is the range of injectFault's random draw; a larger range
		// means fewer faults.
		faultRarity int
		// callProbability is the probability that a step starts an operation.
		callProbability   float64
		nextNetworkChange time.Duration
		faultsOff         bool
		// voters is the number of voters of a group that hosts join through seeds;
		// zero means a fixed list of peers.
		voters   int
		replaced int
	}
)

func (r *recordingMachine) Apply(_ uint64, cmd []byte) []byte {
	r.ids = append(r.ids, binary.BigEndian.Uint64(cmd))
	return binary.BigEndian.AppendUint64(nil, uint64(len(r.ids)))
}

func (r *recordingMachine) Snapshot() ([]byte, error) {
	var b []byte
	for _, id := range r.ids {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return b, nil
}

func (r *recordingMachine) Restore(b []byte) error {
	r.ids = nil
	for ; len(b) >= 8; b = b[8:] {
		r.ids = append(r.ids, binary.BigEndian.Uint64(b))
	}
	return nil
}

// Now implements timekeeper.Clock. The clock runs at this host's rate.
func (h *host) Now() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(h.sim.now) * h.clockRate))
}

func (h *host) Since(t time.Time) time.Duration         { return h.Now().Sub(t) }
func (h *host) NewTimer(time.Duration) timekeeper.Timer { panic("the core uses no timers") }
func (h *host) Send(to netip.AddrPort, m *Message)      { h.sim.send(h, to, m) }
func (h *host) up() bool                                { return h.group != nil && h.sim.now >= h.pausedUntil }
func (s *sim) randomHost() *host                        { return s.hosts[s.rng.IntN(len(s.hosts))] }
func (s *sim) chance(p float64) bool                    { return s.rng.Float64() < p }
func (s *sim) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

func newSim(seed uint64, hosts int) *sim { return newSeededSim(seed, hosts, 0) }

// newSeededSim returns a group that hosts join through the first three hosts
// and that maintains the given number of voters.
func newSeededSim(seed uint64, hosts, voters int) *sim {
	s := &sim{voters: voters, rng: rand.New(rand.NewPCG(seed, seed)), cutLinks: make(map[[2]int]bool), extraDelay: make(map[[2]int]time.Duration)}
	for i := range hosts {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))
		s.peers = append(s.peers, Peer{Name: fmt.Sprintf("h%d", i), Addr: addr})
	}
	for _, p := range s.peers {
		h := &host{sim: s, peer: p, fs: &journaler.Memory{}, clockRate: 0.99 + 0.02*s.rng.Float64()}
		s.hosts = append(s.hosts, h)
		s.boot(h)
	}
	return s
}

func (s *sim) boot(h *host) {
	h.boots++
	h.machine = &recordingMachine{}
	h.inbox, h.calls = nil, nil
	o := Options{
		Name: h.peer.Name, Addr: h.peer.Addr, Peers: append(slices.Clone(s.peers), h.peer), FS: h.fs, Machine: h.machine,
		Transport: h, Clock: h, SnapshotEvery: 40, Trailing: 15,
		Rand:  rand.New(rand.NewPCG(s.rng.Uint64(), 1)),
		NewID: func() string { return fmt.Sprintf("%s-%d", h.peer.Name, h.boots) },
		// Each start is an upgrade or a return to the earlier release.
		Format: uint32(h.boots % 2),
	}
	if s.voters > 0 {
		o.Peers, o.Seeds, o.Voters, o.Bootstrap = nil, s.seeds, s.voters, !h.diskLost
	}
	g, err := New(o)
	if err != nil {
		var ce *journaler.CorruptError
		Expect(errors.As(err, &ce)).To(BeFalse(), "a crash was reported as corruption: %v", err)
		s.crash(h)
		return
	}
	g.core.chunkBytes = 300
	h.group = g
}

// seeds returns the current addresses of the first three hosts.
func (s *sim) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range s.hosts[:3] {
		out = append(out, h.peer.Addr)
	}
	return out
}

// crash stops the member; unsynced data on its disk is lost or torn.
func (s *sim) crash(h *host) {
	h.fs.SetFault(nil)
	h.fs.Crash(s.rng)
	h.group = nil
	h.downUntil = s.now + s.randomDuration(0, 3*time.Second)
}

func (s *sim) send(h *host, to netip.AddrPort, m *Message) {
	from := slices.Index(s.hosts, h)
	dest := int(to.Port()) % 1000
	if s.hosts[dest].peer.Addr != to {
		return
	}
	copies := 1
	if !s.faultsOff && s.chance(0.03) {
		copies = 2
	}
	for range copies {
		if s.cutLinks[[2]int{from, dest}] || (!s.faultsOff && s.chance(s.lossRate)) {
			continue
		}
		delay := s.randomDuration(time.Millisecond, 20*time.Millisecond) + s.extraDelay[[2]int{from, dest}]
		if !s.faultsOff && s.chance(0.02) {
			delay = s.randomDuration(0, 3*time.Second)
		}
		s.packets = append(s.packets, packet{deliverAt: s.now + delay, from: from, to: dest, message: m})
	}
}

// step advances the time, delivers messages and runs one turn of every member.
func (s *sim) step() {
	s.now += s.randomDuration(time.Millisecond, 20*time.Millisecond)
	s.packets = slices.DeleteFunc(s.packets, func(p packet) bool {
		if p.deliverAt > s.now {
			return false
		}
		if h := s.hosts[p.to]; h.group != nil && !s.cutLinks[[2]int{p.from, p.to}] {
			h.inbox = append(h.inbox, p.message)
		}
		return true
	})
	for _, h := range s.hosts {
		if h.group == nil && s.now >= h.downUntil {
			s.boot(h)
		}
		if h.up() {
			s.runTurn(h)
		}
		s.expectSingleLease()
	}
	s.collectOutcomes()
}

func (s *sim) runTurn(h *host) {
	msgs, calls := h.inbox, h.calls
	h.inbox, h.calls = nil, nil
	s.rng.Shuffle(len(msgs), func(i, j int) { msgs[i], msgs[j] = msgs[j], msgs[i] })
	if err := h.group.runTurn(h.group.opts.Clock.Since(h.group.start), msgs, calls); err != nil {
		var fe *journaler.FailedError
		Expect(errors.As(err, &fe)).To(BeTrue(), "turn: %v", err)
		s.crash(h)
	}
}

// expectSingleLease checks that at most one member would serve reads now.
func (s *sim) expectSingleLease() {
	var names []string
	for _, h := range s.hosts {
		if h.group != nil && h.group.HoldsLease() {
			names = append(names, h.peer.Name)
		}
	}
	Expect(len(names)).To(BeNumerically("<=", 1), "members that hold a lease at the same time: %v", names)
}

// startOperation starts a client operation, usually at a leader.
func (s *sim) startOperation() {
	h := s.randomHost()
	for _, o := range s.hosts {
		if o.group != nil && o.group.status.Load().leading && s.chance(0.8) {
			h = o
		}
	}
	if h.group == nil {
		return
	}
	o := &operation{id: uint64(len(s.operations) + 1), read: s.chance(0.4), target: h, machine: h.machine, minPosition: s.maxPosition}
	o.deadline = s.now + s.randomDuration(time.Second, 4*time.Second)
	s.operations = append(s.operations, o)
	if o.read && h.up() && h.group.HoldsLease() {
		s.recordSuccess(o, len(o.machine.ids))
		return
	}
	o.pendingCall = &call{barrier: o.read, result: make(chan outcome, 1), cmd: binary.BigEndian.AppendUint64(nil, o.id)}
	h.calls = append(h.calls, o.pendingCall)
	s.pending = append(s.pending, o)
}

func (s *sim) recordSuccess(o *operation, position int) {
	o.done, o.acked, o.position = true, true, position
	s.maxPosition = max(s.maxPosition, position)
}

// collectOutcomes records the outcomes of operations that were answered, timed
// out or lost their host.
func (s *sim) collectOutcomes() {
	s.pending = slices.DeleteFunc(s.pending, func(o *operation) bool {
		var out outcome
		select {
		case out = <-o.pendingCall.result:
		default:
			if s.now < o.deadline && o.target.machine == o.machine && o.target.group != nil {
				return false
			}
			out = o.pendingCall.abandon(&ProposalError{NotRun: true, Err: errStopped}, &ProposalError{Err: errStopped})
		}
		switch {
		case out.err != nil:
			o.done, o.notRun = true, NotRun(out.err)
		case o.read:
			s.recordSuccess(o, len(o.machine.ids))
		default:
			s.recordSuccess(o, int(binary.BigEndian.Uint64(out.data)))
		}
		return true
	})
}

// injectFault may inject a fault into a random host or its disk.
func (s *sim) injectFault() {
	h := s.randomHost()
	if s.wipes > s.countedRepairs && s.isRepaired() {
		// Half of the time, a second disk is lost right after the repair of the
		// first.
		if s.countedRepairs = s.wipes; s.chance(0.5) {
			s.wipeDisk(h)
		}
	}
	switch s.rng.IntN(s.faultRarity) {
	case 0:
		if h.group != nil {
			s.crash(h)
		}
	case 1:
		n := s.rng.IntN(6)
		h.fs.SetFault(func(op, name string) error {
			if n--; n < 0 {
				return errors.Newf("%s %s fails", op, name)
			}
			return nil
		})
	case 2:
		h.pausedUntil = s.now + s.randomDuration(0, 2500*time.Millisecond)
	case 3:
		if s.wipes == s.countedRepairs && s.isRepaired() {
			s.wipeDisk(h)
		}
	case 4:
		if s.voters > 0 && s.wipes == s.countedRepairs && s.isRepaired() {
			s.replaceHost(h)
		}
	}
}

// replaceHost replaces the host for good with one that has an empty disk and
// another address.
func (s *sim) replaceHost(h *host) {
	s.wipeDisk(h)
	s.replaced++
	h.peer.Name += "r"
	h.peer.Addr = netip.AddrPortFrom(h.peer.Addr.Addr(), h.peer.Addr.Port()+1000)
}

// changeNetwork ends the current network faults and may add random new ones.
func (s *sim) changeNetwork() {
	clear(s.cutLinks)
	clear(s.extraDelay)
	s.lossRate = 0
	link := func() [2]int { return [2]int{s.rng.IntN(len(s.hosts)), s.rng.IntN(len(s.hosts))} }
	switch s.rng.IntN(8) {
	case 0:
		s.lossRate = 0.3 * s.rng.Float64()
	case 1:
		i := s.rng.IntN(len(s.hosts))
		for k := range s.hosts {
			s.cutLinks[[2]int{i, k}], s.cutLinks[[2]int{k, i}] = true, true
		}
	case 2:
		for range 1 + s.rng.IntN(len(s.hosts)) {
			s.cutLinks[link()] = true
		}
	case 3:
		l := link()
		s.cutLinks[l], s.cutLinks[[2]int{l[1], l[0]}] = true, true
	case 4:
		for range 1 + s.rng.IntN(2*len(s.hosts)) {
			s.extraDelay[link()] = s.randomDuration(0, 600*time.Millisecond)
		}
	}
}

// runWithFaults runs the group for d with faults and load at varying rates.
func (s *sim) runWithFaults(d time.Duration) {
	for end := s.now + d; s.now < end; {
		if s.chance(0.003) || s.faultRarity == 0 {
			s.faultRarity = []int{100, 400, 2000}[s.rng.IntN(3)]
			// Without load, all logs stay equal and elections are contested.
			s.callProbability = []float64{0, 0.03, 0.5}[s.rng.IntN(3)]
		}
		if s.now >= s.nextNetworkChange {
			s.nextNetworkChange = s.now + s.randomDuration(0, 5*time.Second)
			s.changeNetwork()
		}
		s.injectFault()
		if s.chance(s.callProbability) {
			s.startOperation()
		}
		s.step()
	}
}

// wipeDisk empties the disk of the host, which restarts within a second.
func (s *sim) wipeDisk(h *host) {
	h.fs.SetFault(nil)
	h.fs.Wipe()
	h.group = nil
	h.downUntil = s.now + s.randomDuration(0, time.Second)
	h.diskLost = true
	s.wipes++
}

// isRepaired reports whether another disk may be lost: the newest leader's
// committed membership has every host's current identity as a voter, or with
// seeds as hasAllMembers requires.
func (s *sim) isRepaired() bool {
	lead := s.leader()
	if lead == nil {
		return false
	}
	c := lead.group.core
	if c.memberships[len(c.memberships)-1].index > c.commit || c.commit < c.termStart || len(c.membership()) != len(s.hosts) {
		return false
	}
	if s.voters > 0 {
		return s.hasAllMembers(c)
	}
	for _, h := range s.hosts {
		if h.group == nil || !c.isVoter(h.group.ID()) {
			return false
		}
	}
	return true
}

// hasAllMembers reports whether the group has its number of voters and every
// host's current identity is a member.
func (s *sim) hasAllMembers(c *core) bool {
	for _, h := range s.hosts {
		if h.group == nil {
			return false
		}
		if _, ok := c.member(h.group.ID()); !ok {
			return false
		}
	}
	return c.countVoters() == min(s.voters, len(s.hosts))
}

func (s *sim) leader() *host {
	var lead *host
	for _, h := range s.hosts {
		if h.group == nil || h.group.core.role != leader {
			continue
		}
		if lead == nil || h.group.core.meta.Term > lead.group.core.meta.Term {
			lead = h
		}
	}
	return lead
}

// heal ends all faults and runs until all members agree and no operation is
// pending.
func (s *sim) heal() {
	s.faultsOff = true
	s.lossRate = 0
	clear(s.cutLinks)
	clear(s.extraDelay)
	for _, h := range s.hosts {
		h.pausedUntil, h.downUntil = 0, min(h.downUntil, s.now)
		h.fs.SetFault(nil)
	}
	for range 10000 {
		s.step()
		if s.isRepaired() && len(s.pending) == 0 && s.hasConverged() {
			return
		}
	}
	Expect(s.describe()).To(BeEmpty(), "the group does not recover")
}

func (s *sim) hasConverged() bool {
	for _, h := range s.hosts {
		if !slices.Equal(h.machine.ids, s.hosts[0].machine.ids) || h.group.core.applied != s.hosts[0].group.core.applied {
			return false
		}
	}
	return true
}

func (s *sim) describe() string {
	out := ""
	for _, h := range s.hosts {
		if h.group == nil {
			out += h.peer.Name + " is down\n"
			continue
		}
		c := h.group.core
		out += fmt.Sprintf("%s role %d term %d last %d commit %d applied %d ids %d conf %v\n",
			h.group.ID(), c.role, c.meta.Term, c.log.lastIndex(), c.commit, c.applied, len(h.machine.ids), c.membership())
	}
	return out
}

// checkHistory compares the outcomes of the operations with the final list of
// commands, on which all members agree.
func (s *sim) checkHistory() (acked int) {
	at := make(map[uint64]int)
	for i, id := range s.hosts[0].machine.ids {
		Expect(at).NotTo(HaveKey(id), "command %d was applied twice", id)
		at[id] = i + 1
	}
	for _, o := range s.operations {
		pos, in := at[o.id]
		switch {
		case o.read:
			if o.acked {
				Expect(o.position).To(BeNumerically(">=", o.minPosition), "read %d is stale", o.id)
			}
			continue
		case o.acked:
			acked++
			Expect(pos).To(Equal(o.position), "acknowledged command %d is lost or moved", o.id)
		case o.notRun:
			Expect(in).To(BeFalse(), "command %d was reported as not run but took effect", o.id)
		}
		if in {
			Expect(pos).To(BeNumerically(">", o.minPosition), "command %d took effect before it was proposed", o.id)
		}
	}
	return acked
}
