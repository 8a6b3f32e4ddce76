package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"foxtailwall/admitter"
	"foxtailwall/placer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

const (
	// tick is the step of the engines and of the traffic.
	tick = 5 * time.Millisecond
	// reportTicks is the number of ticks between the reports of loads, and lateTicks that
	// until they arrive.
	reportTicks, lateTicks = 20, 10
	// expiryTicks is the number of ticks between checks of deadlines.
	expiryTicks = 10
	// roundTrip is the time in which a caller that ignores Retry-After returns.
	roundTrip = 40 * time.Millisecond
	// runOut is the time in seconds after the last arrival in which all requests end.
	runOut = 11
)

type (
	// kind is a class of requests, of which perSecond arrive at all hosts together.
	kind struct {
		name                string
		perSecond           float64
		shared, own, output int
		objective, deadline time.Duration
		groups, priority    int
		weight              float64
	}

	// pattern is a load pattern. Its functions may be nil.
	pattern struct {
		name           string
		seed           uint64
		zones          int
		engines, hosts int
		slots, memory  int
		seconds        int
		kinds          []kind
		// rate multiplies the arrivals of a kind in a zone, speed the speed of an engine,
		// and down says whether it is down.
		rate  func(k kind, zone int, at time.Duration) float64
		speed func(engine int, at time.Duration) float64
		down  func(engine int, at time.Duration) bool
		// workspace has the workspace of a request by a random number.
		workspace func(x float64) string
		// retries says that refused callers return at once; others follow Retry-After. They
		// return to any host, until their deadline.
		retries bool
		// better says that admission must serve more in time than the current rule.
		better bool
	}

	// job is a request.
	job struct {
		kind      *kind
		group     uint64
		workspace string
		own       int
		host      int
		arrivedAt time.Time
		ticket    *placer.Ticket
		place     *placer.Place
		tried     []tracker.Key
		lost      bool
		left      float64
		produced  float64
		// hostAt is when the host got the request, and returnsAt when the caller sends it
		// again.
		hostAt, returnsAt time.Time
		sentAt            time.Time
		firstAt           time.Time
	}

	// engine runs up to slots jobs, whose prompts it reads in order, and queues the others.
	engine struct {
		waiting, running []*job
		cached           map[uint64]bool
		isDown           bool
	}

	// figures are the results of a replay.
	figures struct {
		offered, served, inTime, refused, late, failed int
		queued, crossZone                              int
		reread                                         float64
		// longestWait is the longest wait by second of the objective.
		longestWait time.Duration
		// firstBytes is the sum of the times to the first bytes.
		firstBytes time.Duration
		// freeAtRefusal is the largest number of slots known to be free at a refusal.
		freeAtRefusal int
		// by counts the requests served and all, by kind, workspace, zone and size.
		by map[string][2]int
	}

	replay struct {
		pattern
		admits bool
		clock  *timekeeper.Fake
		start  time.Time
		// arrivals and random are for the arrivals, which are the same with and without
		// admission, and for all else.
		arrivals, random *rand.Rand
		placers          []*placer.Placer
		list             []tracker.Upstream
		engines          []*engine
		waiting          []*job
		open             []*job
		figures
	}
)

// run replays the pattern with or without admission.
func (p pattern) run(admits bool) figures {
	r := &replay{pattern: p, admits: admits, arrivals: rand.New(rand.NewPCG(p.seed, 2)), random: rand.New(rand.NewPCG(3, 4)), start: time.Unix(1000, 0)}
	r.clock = timekeeper.NewFake(r.start)
	r.by = make(map[string][2]int)
	for i := range p.engines {
		r.engines = append(r.engines, &engine{cached: make(map[uint64]bool)})
		r.list = append(r.list, tracker.Upstream{
			ID: fmt.Sprint("e", i), Service: "s", Zone: fmt.Sprint("z", i%p.zones), Version: "v1", Slots: p.slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	for h := range p.hosts {
		own := rand.New(rand.NewPCG(3, uint64(h)))
		pl := placer.New(placer.Settings{
			Clock: r.clock, Zone: fmt.Sprint("z", h%p.zones), Host: fmt.Sprint("h", h),
			Admission: placer.AdmissionSettings{Random: own.Float64},
		})
		pl.SetHosts(p.hosts, h)
		pl.Update(slices.Clone(r.list))
		r.placers = append(r.placers, pl)
	}
	var reports [][]placer.Load
	for n := range (p.seconds + runOut) * int(time.Second/tick) {
		if n%reportTicks == 0 {
			reports = r.report()
		}
		if n%reportTicks == lateTicks {
			r.deliver(reports)
		}
		switch {
		case r.at() < time.Duration(p.seconds)*time.Second:
			r.arrive()
		case len(r.open) == 0:
			return r.figures
		}
		r.checkWaiting()
		for i, e := range r.engines {
			r.step(i, e)
		}
		if n%expiryTicks == 0 {
			r.expire()
		}
		r.clock.Advance(tick)
	}
	return r.figures
}

func (r *replay) at() time.Duration { return r.clock.Since(r.start) }

func (r *replay) report() [][]placer.Load {
	var out [][]placer.Load
	for _, p := range r.placers {
		out = append(out, p.Loads())
	}
	return out
}

// deliver gives each host the sums of the reports of the others.
func (r *replay) deliver(reports [][]placer.Load) {
	total := make(map[uint32]placer.Load)
	for _, loads := range reports {
		for _, l := range loads {
			sum := total[l.Upstream]
			total[l.Upstream] = placer.Load{Upstream: l.Upstream, Running: sum.Running + l.Running, Work: sum.Work + l.Work, SinceReceived: placer.NeverReceived}
		}
	}
	var placements []placer.Placement
	for h, p := range r.placers {
		own := make(map[uint32]placer.Load)
		for _, l := range reports[h] {
			own[l.Upstream] = l
		}
		list := make([]placer.Load, 0, len(total))
		for id, l := range total {
			l.Running, l.Work = l.Running-own[id].Running, l.Work-own[id].Work
			list = append(list, l)
		}
		p.SetRemoteLoads(list)
		placements = append(placements, p.TakePlacements(100)...)
	}
	for _, p := range r.placers {
		p.AddPlacements(placements)
	}
}

// arrive sends new requests; hosts with a low number get more of them.
func (r *replay) arrive() {
	for i := range r.kinds {
		k := &r.kinds[i]
		for zone := range r.zones {
			rate := k.perSecond / float64(r.zones) * tick.Seconds()
			if r.rate != nil {
				rate *= r.rate(*k, zone, r.at())
			}
			for ; rate > 0 && r.arrivals.Float64() < rate; rate-- {
				x := r.arrivals.Float64()
				hosts := (r.hosts - zone + r.zones - 1) / r.zones
				j := &job{
					kind: k, group: uint64(r.arrivals.IntN(k.groups)+1) * 7919 * uint64(i+1), host: zone + r.zones*int(x*x*float64(hosts)), workspace: "w",
					own: int(float64(k.own) * (0.5 + r.arrivals.Float64())), arrivedAt: r.clock.Now(),
				}
				if r.workspace != nil {
					j.workspace = r.workspace(r.arrivals.Float64())
				}
				j.hostAt = j.arrivedAt
				r.offered++
				r.open = append(r.open, j)
				r.place(j)
			}
		}
	}
}

func (r *replay) request(j *job) placer.Request {
	k := j.kind
	weight := k.weight
	if weight == 0 {
		weight = 1
	}
	req := placer.Request{
		Service: "s", Group: j.group, Work: weight*float64(j.own) + 100, SharedWork: weight * float64(k.shared),
		SharedTokens: float64(k.shared), Tried: j.tried,
	}
	if r.admits {
		req.Admission = placer.AdmissionRequest{
			Slots: r.slots, MemoryTokens: r.memory, Model: k.name, Tokens: float64(k.shared + j.own + k.output), OutputTokens: float64(k.output),
			Arrived: j.hostAt, Objective: j.hostAt.Add(k.objective), Deadline: j.arrivedAt.Add(k.deadline), Due: j.arrivedAt.Add(k.objective),
			Priority: k.priority, Workspace: j.workspace, Continued: j.lost,
		}
	}
	return req
}

// place decides on a request until it is sent, waits or is refused.
func (r *replay) place(j *job) {
	for len(j.tried) < 24 {
		p := r.placers[j.host]
		a := p.Admit(r.request(j))
		switch {
		case a.Place != nil:
			j.place = a.Place
			r.waiting = append(r.waiting, j)
			r.queued++
			return
		case a.Refusal.Verdict == admitter.Refuse:
			r.freeAtRefusal = max(r.freeAtRefusal, a.Refusal.Room.Free)
			r.refused++
			j.host, j.returnsAt = r.random.IntN(r.hosts), r.clock.Now()
			if r.retries {
				j.returnsAt = j.returnsAt.Add(roundTrip)
			} else {
				j.returnsAt = j.returnsAt.Add(time.Duration(float64(a.Refusal.RetryAfter) * (0.75 + 0.5*r.random.Float64())))
			}
			r.waiting = append(r.waiting, j)
			return
		case a.Ticket == nil:
			r.failed++
			r.end(j, false)
			return
		}
		if r.send(j, a.Ticket) {
			return
		}
	}
	r.failed++
	r.end(j, false)
}

// send reports whether the engine accepted the request.
func (r *replay) send(j *job, t *placer.Ticket) bool {
	i := slices.IndexFunc(r.list, func(u tracker.Upstream) bool { return u.ID == t.Upstream().ID })
	e := r.engines[i]
	if e.isDown {
		t.Done(placer.NotListening, 0)
		j.tried = append(j.tried, t.Upstream().Key())
		return false
	}
	if i%r.zones != j.host%r.zones {
		r.crossZone++
	}
	weight := j.kind.weight
	if weight == 0 {
		weight = 1
	}
	j.ticket, j.produced, j.sentAt, j.firstAt = t, 0, r.clock.Now(), time.Time{}
	j.left = weight * float64(j.own)
	if !e.cached[j.group] {
		j.left += weight * float64(j.kind.shared)
		r.reread += float64(j.kind.shared)
	}
	e.waiting = append(e.waiting, j)
	return true
}

func (r *replay) checkWaiting() {
	waiting := r.waiting
	r.waiting = nil
	for _, j := range waiting {
		if j.place == nil && r.clock.Now().Before(j.returnsAt) {
			r.waiting = append(r.waiting, j)
			continue
		}
		if j.place == nil {
			j.hostAt = r.clock.Now()
			r.place(j)
			continue
		}
		select {
		case <-j.place.Ready():
		default:
			if r.clock.Now().Before(j.place.Until()) {
				r.waiting = append(r.waiting, j)
				continue
			}
		}
		t, waited := j.place.Leave()
		j.place = nil
		r.longestWait = max(r.longestWait, time.Duration(float64(waited)/j.kind.objective.Seconds()))
		if t == nil || !r.send(j, t) {
			r.place(j)
		}
	}
}

// step runs an engine for one tick.
func (r *replay) step(i int, e *engine) {
	isDown := r.down != nil && r.down(i, r.at())
	if isDown && !e.isDown {
		lost := append(e.running, e.waiting...)
		e.running, e.waiting, e.cached, e.isDown = nil, nil, make(map[uint64]bool), true
		for _, j := range lost {
			j.tried, j.lost = append(j.tried, j.ticket.Upstream().Key()), true
			j.ticket.Done(placer.Broken, 0)
			j.ticket = nil
			r.place(j)
		}
	}
	e.isDown = isDown
	speed := 1.0
	if r.speed != nil {
		speed = r.speed(i, r.at())
	}
	held := 0
	for _, j := range e.running {
		held += j.tokens()
	}
	for len(e.waiting) > 0 && len(e.running) < r.slots && held+e.waiting[0].tokens() <= r.memory {
		held += e.waiting[0].tokens()
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	reading := 38.4 * speed * float64(tick) / float64(time.Millisecond)
	for k := 0; k < len(e.running); k++ {
		j := e.running[k]
		if !j.firstAt.IsZero() {
			// A batch slows each of its requests down.
			j.produced += speed / (1 + float64(len(e.running))/float64(2*r.slots))
			if j.produced >= float64(j.kind.output) {
				e.remove(j)
				k--
				j.ticket.Done(placer.Succeeded, j.firstAt.Sub(j.sentAt))
				r.end(j, true)
			}
			continue
		}
		used := min(reading, j.left)
		reading -= used
		if j.left -= used; j.left <= 0 && used > 0 {
			e.cached[j.group] = true
			j.firstAt = r.clock.Now().Add(tick)
			j.ticket.RecordReceived()
		}
	}
}

func (j *job) tokens() int { return j.kind.shared + j.own + j.kind.output }

func (e *engine) remove(j *job) {
	same := func(o *job) bool { return o == j }
	e.running, e.waiting = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.waiting, same)
}

// expire ends requests whose deadline has passed.
func (r *replay) expire() {
	now := r.clock.Now()
	var late []*job
	for _, j := range r.open {
		if now.Sub(j.arrivedAt) >= j.kind.deadline {
			late = append(late, j)
		}
	}
	for _, j := range late {
		if j.ticket != nil {
			for _, e := range r.engines {
				if slices.Contains(e.running, j) || slices.Contains(e.waiting, j) {
					e.remove(j)
				}
			}
			j.ticket.Done(placer.Abandoned, 0)
		}
		if j.place != nil {
			if t, _ := j.place.Leave(); t != nil {
				t.Done(placer.Abandoned, 0)
			}
		}
		r.waiting = slices.DeleteFunc(r.waiting, func(o *job) bool { return o == j })
		r.late++
		r.end(j, false)
	}
}

// end counts a finished request.
func (r *replay) end(j *job, served bool) {
	r.open = slices.DeleteFunc(r.open, func(o *job) bool { return o == j })
	inTime := served && j.firstAt.Sub(j.arrivedAt) <= j.kind.objective
	if served {
		r.firstBytes += j.firstAt.Sub(j.arrivedAt)
		r.served++
	}
	if inTime {
		r.inTime++
	}
	size := "small"
	if float64(j.own) > 1.4*float64(j.kind.own) {
		size = "largest"
	}
	for _, key := range []string{j.kind.name, j.kind.name + " " + size, "workspace " + j.workspace, fmt.Sprint("zone ", j.host%r.zones)} {
		n := r.by[key]
		n[1]++
		if served {
			n[0]++
		}
		r.by[key] = n
	}
}
