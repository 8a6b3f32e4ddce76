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
	// recorder is a machine that lists the commands it was given.
	recorder struct{ ids []uint64 }

	// host is a machine of the simulation, with its disk and clock.
	host struct {
		sim     *sim
		peer    Peer
		fs      *journaler.Memory
		rate    float64
		g       *Group
		machine *recorder
		inbox   []*Message
		calls   []*call
		paused  time.Duration
		down    time.Duration
		boots   int
		// emptied says that the disk was lost or the host replaced, so that it
		// may not form a group.
		emptied bool
	}

	packet struct {
		at       time.Duration
		from, to int
		m        *Message
	}

	// op is one call of a client. Its point is the length of the command
	// list at which it took effect.
	op struct {
		id       uint64
		read     bool
		c        *call
		h        *host
		machine  *recorder
		deadline time.Duration
		floor    int
		point    int
		done     bool
		acked    bool
		notRun   bool
	}

	// sim drives members, network, disks and clients from one seed.
	sim struct {
		rng   *rand.Rand
		now   time.Duration
		hosts []*host
		peers []Peer
		net   []packet
		cut   map[[2]int]bool
		// slow is the additional delay from one host to another.
		slow map[[2]int]time.Duration
		loss float64
		ops  []*op
		open []*op
		// reached is the largest point of an answered operation.
		reached int
		wipes   int
		repairs int
		// quiet is how rare faults are at present.
		quiet int
		// load is how likely an operation begins in a step.
		load    float64
		rewired time.Duration
		calm    bool
		// voters is the number of voters to keep in a group that is joined
		// through seeds; zero means a fixed list of peers.
		voters   int
		replaced int
	}
)

func (r *recorder) Apply(_ uint64, cmd []byte) []byte {
	r.ids = append(r.ids, binary.BigEndian.Uint64(cmd))
	return binary.BigEndian.AppendUint64(nil, uint64(len(r.ids)))
}

func (r *recorder) Snapshot() ([]byte, error) {
	var b []byte
	for _, id := range r.ids {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return b, nil
}

func (r *recorder) Restore(b []byte) error {
	r.ids = nil
	for ; len(b) >= 8; b = b[8:] {
		r.ids = append(r.ids, binary.BigEndian.Uint64(b))
	}
	return nil
}

// Now implements timekeeper.Clock with this host's rate.
func (h *host) Now() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(h.sim.now) * h.rate))
}

func (h *host) Since(t time.Time) time.Duration         { return h.Now().Sub(t) }
func (h *host) NewTimer(time.Duration) timekeeper.Timer { panic("the core arms no timers") }
func (h *host) Send(to netip.AddrPort, m *Message)      { h.sim.send(h, to, m) }
func (h *host) up() bool                                { return h.g != nil && h.sim.now >= h.paused }
func (s *sim) pick() *host                              { return s.hosts[s.rng.IntN(len(s.hosts))] }
func (s *sim) chance(p float64) bool                    { return s.rng.Float64() < p }
func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

func newSim(seed uint64, hosts int) *sim { return newSeededSim(seed, hosts, 0) }

// newSeededSim returns a group that is joined through the first three hosts
// and keeps so many voters.
func newSeededSim(seed uint64, hosts, voters int) *sim {
	s := &sim{voters: voters, rng: rand.New(rand.NewPCG(seed, seed)), cut: make(map[[2]int]bool), slow: make(map[[2]int]time.Duration)}
	for i := range hosts {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))
		s.peers = append(s.peers, Peer{Name: fmt.Sprintf("h%d", i), Addr: addr})
	}
	for _, p := range s.peers {
		h := &host{sim: s, peer: p, fs: &journaler.Memory{}, rate: 0.99 + 0.02*s.rng.Float64()}
		s.hosts = append(s.hosts, h)
		s.boot(h)
	}
	return s
}

func (s *sim) boot(h *host) {
	h.boots++
	h.machine = &recorder{}
	h.inbox, h.calls = nil, nil
	o := Options{
		Name: h.peer.Name, Addr: h.peer.Addr, Peers: append(slices.Clone(s.peers), h.peer), FS: h.fs, Machine: h.machine,
		Transport: h, Clock: h, SnapshotEvery: 40, Trailing: 15,
		Rand:  rand.New(rand.NewPCG(s.rng.Uint64(), 1)),
		NewID: func() string { return fmt.Sprintf("%s-%d", h.peer.Name, h.boots) },
	}
	if s.voters > 0 {
		o.Peers, o.Seeds, o.Voters, o.Bootstrap = nil, s.seeds, s.voters, !h.emptied
	}
	g, err := New(o)
	if err != nil {
		var ce *journaler.CorruptError
		Expect(errors.As(err, &ce)).To(BeFalse(), "a crash looks like damage: %v", err)
		s.crash(h)
		return
	}
	g.core.chunk = 300
	h.g = g
}

// seeds returns the present addresses of the first three hosts.
func (s *sim) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range s.hosts[:3] {
		out = append(out, h.peer.Addr)
	}
	return out
}

// crash ends the member; what its disk had not synced is lost or torn.
func (s *sim) crash(h *host) {
	h.fs.Fault(nil)
	h.fs.Crash(s.rng)
	h.g = nil
	h.down = s.now + s.between(0, 3*time.Second)
}

func (s *sim) send(h *host, to netip.AddrPort, m *Message) {
	from := slices.Index(s.hosts, h)
	dest := int(to.Port()) % 1000
	if s.hosts[dest].peer.Addr != to {
		return
	}
	copies := 1
	if !s.calm && s.chance(0.03) {
		copies = 2
	}
	for range copies {
		if s.cut[[2]int{from, dest}] || (!s.calm && s.chance(s.loss)) {
			continue
		}
		delay := s.between(time.Millisecond, 20*time.Millisecond) + s.slow[[2]int{from, dest}]
		if !s.calm && s.chance(0.02) {
			delay = s.between(0, 3*time.Second)
		}
		s.net = append(s.net, packet{at: s.now + delay, from: from, to: dest, m: m})
	}
}

// step moves time on, delivers messages and lets the members take a turn.
func (s *sim) step() {
	s.now += s.between(time.Millisecond, 20*time.Millisecond)
	s.net = slices.DeleteFunc(s.net, func(p packet) bool {
		if p.at > s.now {
			return false
		}
		if h := s.hosts[p.to]; h.g != nil && !s.cut[[2]int{p.from, p.to}] {
			h.inbox = append(h.inbox, p.m)
		}
		return true
	})
	for _, h := range s.hosts {
		if h.g == nil && s.now >= h.down {
			s.boot(h)
		}
		if h.up() {
			s.turn(h)
		}
		s.oneLeads()
	}
	s.settle()
}

func (s *sim) turn(h *host) {
	msgs, calls := h.inbox, h.calls
	h.inbox, h.calls = nil, nil
	s.rng.Shuffle(len(msgs), func(i, j int) { msgs[i], msgs[j] = msgs[j], msgs[i] })
	if err := h.g.turn(h.g.opts.Clock.Since(h.g.start), msgs, calls); err != nil {
		var fe *journaler.FailedError
		Expect(errors.As(err, &fe)).To(BeTrue(), "turn: %v", err)
		s.crash(h)
	}
}

// oneLeads checks that no two members would serve reads at this moment.
func (s *sim) oneLeads() {
	var names []string
	for _, h := range s.hosts {
		if h.g != nil && h.g.Leased() {
			names = append(names, h.peer.Name)
		}
	}
	Expect(len(names)).To(BeNumerically("<=", 1), "leased at once: %v", names)
}

// call starts an operation of a client.
func (s *sim) call() {
	h := s.pick()
	for _, o := range s.hosts {
		if o.g != nil && o.g.public.Load().leads && s.chance(0.8) {
			h = o
		}
	}
	if h.g == nil {
		return
	}
	o := &op{id: uint64(len(s.ops) + 1), read: s.chance(0.4), h: h, machine: h.machine, floor: s.reached}
	o.deadline = s.now + s.between(time.Second, 4*time.Second)
	s.ops = append(s.ops, o)
	if o.read && h.up() && h.g.Leased() {
		s.answer(o, len(o.machine.ids))
		return
	}
	o.c = &call{barrier: o.read, result: make(chan outcome, 1), cmd: binary.BigEndian.AppendUint64(nil, o.id)}
	h.calls = append(h.calls, o.c)
	s.open = append(s.open, o)
}

func (s *sim) answer(o *op, point int) {
	o.done, o.acked, o.point = true, true, point
	s.reached = max(s.reached, point)
}

// settle collects the outcomes of operations.
func (s *sim) settle() {
	s.open = slices.DeleteFunc(s.open, func(o *op) bool {
		var out outcome
		select {
		case out = <-o.c.result:
		default:
			if s.now < o.deadline && o.h.machine == o.machine && o.h.g != nil {
				return false
			}
			out = o.c.abandon(&ProposalError{NotRun: true, Err: errStopped}, &ProposalError{Err: errStopped})
		}
		switch {
		case out.err != nil:
			o.done, o.notRun = true, NotRun(out.err)
		case o.read:
			s.answer(o, len(o.machine.ids))
		default:
			s.answer(o, int(binary.BigEndian.Uint64(out.data)))
		}
		return true
	})
}

// disturb injects faults into hosts and disks.
func (s *sim) disturb() {
	h := s.pick()
	if s.wipes > s.repairs && s.repaired() {
		// A second disk is lost right after the repair of the first.
		if s.repairs = s.wipes; s.chance(0.5) {
			s.wipe(h)
		}
	}
	switch s.rng.IntN(s.quiet) {
	case 0:
		if h.g != nil {
			s.crash(h)
		}
	case 1:
		n := s.rng.IntN(6)
		h.fs.Fault(func(op, name string) error {
			if n--; n < 0 {
				return errors.Newf("%s %s fails", op, name)
			}
			return nil
		})
	case 2:
		h.paused = s.now + s.between(0, 2500*time.Millisecond)
	case 3:
		if s.wipes == s.repairs && s.repaired() {
			s.wipe(h)
		}
	case 4:
		if s.voters > 0 && s.wipes == s.repairs && s.repaired() {
			s.replace(h)
		}
	}
}

// replace takes the host away for good; an empty one comes at another address.
func (s *sim) replace(h *host) {
	s.wipe(h)
	s.replaced++
	h.peer.Name += "r"
	h.peer.Addr = netip.AddrPortFrom(h.peer.Addr.Addr(), h.peer.Addr.Port()+1000)
}

// rewire gives the network new faults, or none.
func (s *sim) rewire() {
	clear(s.cut)
	clear(s.slow)
	s.loss = 0
	link := func() [2]int { return [2]int{s.rng.IntN(len(s.hosts)), s.rng.IntN(len(s.hosts))} }
	switch s.rng.IntN(8) {
	case 0:
		s.loss = 0.3 * s.rng.Float64()
	case 1:
		i := s.rng.IntN(len(s.hosts))
		for k := range s.hosts {
			s.cut[[2]int{i, k}], s.cut[[2]int{k, i}] = true, true
		}
	case 2:
		for range 1 + s.rng.IntN(len(s.hosts)) {
			s.cut[link()] = true
		}
	case 3:
		l := link()
		s.cut[l], s.cut[[2]int{l[1], l[0]}] = true, true
	case 4:
		for range 1 + s.rng.IntN(2*len(s.hosts)) {
			s.slow[link()] = s.between(0, 600*time.Millisecond)
		}
	}
}

// run disturbs the group for d, now more and now less, under load.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		if s.chance(0.003) || s.quiet == 0 {
			s.quiet = []int{100, 400, 2000}[s.rng.IntN(3)]
			// Without load, logs stay equal and elections are contested.
			s.load = []float64{0, 0.03, 0.5}[s.rng.IntN(3)]
		}
		if s.now >= s.rewired {
			s.rewired = s.now + s.between(0, 5*time.Second)
			s.rewire()
		}
		s.disturb()
		if s.chance(s.load) {
			s.call()
		}
		s.step()
	}
}

// wipe replaces the disk of the host.
func (s *sim) wipe(h *host) {
	h.fs.Fault(nil)
	h.fs.Wipe()
	h.g = nil
	h.down = s.now + s.between(0, time.Second)
	h.emptied = true
	s.wipes++
}

// repaired reports whether the newest leader's committed membership has every
// host's present identity as a voter, so that one disk may be lost.
func (s *sim) repaired() bool {
	lead := s.leader()
	if lead == nil {
		return false
	}
	c := lead.g.core
	if c.confs[len(c.confs)-1].index > c.commit || c.commit < c.termStart || len(c.conf()) != len(s.hosts) {
		return false
	}
	if s.voters > 0 {
		return s.manned(c)
	}
	for _, h := range s.hosts {
		if h.g == nil || !c.isVoter(h.g.ID()) {
			return false
		}
	}
	return true
}

// manned reports whether the group has its number of voters and every host's
// present identity is a member.
func (s *sim) manned(c *core) bool {
	for _, h := range s.hosts {
		if h.g == nil {
			return false
		}
		if _, ok := c.member(h.g.ID()); !ok {
			return false
		}
	}
	return c.countVoters() == min(s.voters, len(s.hosts))
}

func (s *sim) leader() *host {
	var lead *host
	for _, h := range s.hosts {
		if h.g == nil || h.g.core.role != leader {
			continue
		}
		if lead == nil || h.g.core.meta.Term > lead.g.core.meta.Term {
			lead = h
		}
	}
	return lead
}

// heal ends all faults and runs until the group is whole and idle.
func (s *sim) heal() {
	s.calm = true
	s.loss = 0
	clear(s.cut)
	clear(s.slow)
	for _, h := range s.hosts {
		h.paused, h.down = 0, min(h.down, s.now)
		h.fs.Fault(nil)
	}
	for range 10000 {
		s.step()
		if s.repaired() && len(s.open) == 0 && s.same() {
			return
		}
	}
	Expect(s.state()).To(BeEmpty(), "the group does not recover")
}

func (s *sim) same() bool {
	for _, h := range s.hosts {
		if !slices.Equal(h.machine.ids, s.hosts[0].machine.ids) || h.g.core.applied != s.hosts[0].g.core.applied {
			return false
		}
	}
	return true
}

func (s *sim) state() string {
	out := ""
	for _, h := range s.hosts {
		if h.g == nil {
			out += h.peer.Name + " is down\n"
			continue
		}
		c := h.g.core
		out += fmt.Sprintf("%s role %d term %d last %d commit %d applied %d ids %d conf %v\n",
			h.g.ID(), c.role, c.meta.Term, c.log.last(), c.commit, c.applied, len(h.machine.ids), c.conf())
	}
	return out
}

// check compares the history with the final list of commands, which is one
// order that all members agree on.
func (s *sim) check() (acked int) {
	at := make(map[uint64]int)
	for i, id := range s.hosts[0].machine.ids {
		Expect(at).NotTo(HaveKey(id), "command %d was applied twice", id)
		at[id] = i + 1
	}
	for _, o := range s.ops {
		pos, in := at[o.id]
		switch {
		case o.read:
			if o.acked {
				Expect(o.point).To(BeNumerically(">=", o.floor), "read %d is stale", o.id)
			}
			continue
		case o.acked:
			acked++
			Expect(pos).To(Equal(o.point), "acknowledged command %d is lost or moved", o.id)
		case o.notRun:
			Expect(in).To(BeFalse(), "command %d was refused as not run but took effect", o.id)
		}
		if in {
			Expect(pos).To(BeNumerically(">", o.floor), "command %d took effect before it was proposed", o.id)
		}
	}
	return acked
}
