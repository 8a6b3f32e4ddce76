package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/tracker"
)

const (
	// Times are in steps of 0.1 s.
	streamSteps   = 99
	downSteps     = 45
	servedSteps   = 11
	maxAttempts   = 3
	refusedSteps  = 9
	contactSteps  = 30
	poisonedPart  = 666
	sharedPart    = 1
	soundPerTenth = 0.286 // 2.86 a second
	lateAllowed   = 3
	crashesKnown  = 5
)

type (
	// streamFleet simulates engines that serve streams of ten seconds. All prompts
	// share their first part. One caller sends requests with a part that crashes
	// each engine that begins to respond, each request after the end of the one
	// before.
	streamFleet struct {
		*group
		rng     *rand.Rand
		engines []streamEngine
		now     int
		// crashes are the steps of all crashes.
		crashes []int
		// arrivals are the steps at which the crashing part reached engines.
		arrivals []int
	}

	streamEngine struct {
		incarnation, upAt int
		streams           []soundStream
	}

	soundStream struct {
		content  uint64
		host     int
		parts    []uint64
		end      int
		attempts int
		placed   int
		sentAt   time.Time
	}
)

func newStreamFleet(engines int, seed uint64) *streamFleet {
	f := &streamFleet{group: newGroup(2), rng: rand.New(rand.NewPCG(seed, 34)), engines: make([]streamEngine, engines)}
	for i := range f.engines {
		f.engines[i].incarnation = f.newID()
	}
	return f
}

// pick returns an engine that is up, nil if there is none.
func (f *streamFleet) pick() *streamEngine {
	var up []*streamEngine
	for i := range f.engines {
		if f.engines[i].upAt <= f.now {
			up = append(up, &f.engines[i])
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[f.rng.IntN(len(up))]
}

func (f *streamFleet) place(s soundStream) {
	if e := f.pick(); e != nil && s.attempts < maxAttempts {
		s.attempts++
		s.placed, s.sentAt = f.now, f.clock.Now()
		f.hosts[s.host].RecordSent("s", s.parts)
		e.streams = append(e.streams, s)
	}
}

// crash ends an engine under a request with the crashing part, which the host of
// the caller reports as well.
func (f *streamFleet) crash(e *streamEngine, content uint64, parts []uint64) {
	key := tracker.Key{ID: fmt.Sprint("u", e.incarnation)}
	f.hosts[0].RecordBroken("s", key, content, parts)
	broken := e.streams
	*e = streamEngine{incarnation: f.newID(), upAt: f.now + downSteps}
	f.crashes = append(f.crashes, f.now)
	for _, s := range broken {
		f.hosts[s.host].RecordBroken("s", key, s.content, s.parts)
		f.place(s)
	}
}

// step lets sound streams begin and end.
func (f *streamFleet) step() {
	f.now++
	if f.rng.Float64() < soundPerTenth {
		f.place(soundStream{
			content: uint64(f.newID()), host: f.rng.IntN(2), parts: []uint64{sharedPart, 10 + f.rng.Uint64N(8)}, end: f.now + streamSteps,
		})
	}
	for i := range f.engines {
		var rest []soundStream
		for _, s := range f.engines[i].streams {
			if s.end == f.now {
				f.hosts[s.host].RecordAnswered("s", s.sentAt)
			}
			if s.end == f.now || f.now-s.placed == servedSteps {
				f.hosts[s.host].RecordSuccess("s", s.parts, s.sentAt)
			}
			if s.end > f.now {
				rest = append(rest, s)
			}
		}
		f.engines[i].streams = rest
	}
	f.exchangeOnce()
}

// attack sends requests with the crashing part for some steps, with a pause between
// the end of one and the next.
func (f *streamFleet) attack(steps, pause int) {
	attempt, next, id := 0, f.now, f.newID()
	for end := f.now + steps; f.now < end; {
		f.step()
		if f.isolated(poisonedPart) || f.now < next {
			continue
		}
		e := f.pick()
		if e == nil {
			attempt, id, next = 0, f.newID(), f.now+refusedSteps
			continue
		}
		f.arrivals = append(f.arrivals, f.now)
		f.hosts[0].RecordSent("s", []uint64{sharedPart, poisonedPart})
		f.crash(e, uint64(id), []uint64{sharedPart, poisonedPart})
		if attempt++; attempt == maxAttempts {
			attempt, id, next = 0, f.newID(), f.now+pause
		}
	}
}

// Guards against an innocent part that is isolated in place of the one that crashes
// engines, and against one that is found too late: a request that crashes three
// engines counted once, while parts of the streams that the crashes broke off
// counted for each of them.
var _ = Describe("A fleet that serves long streams", func() {
	for _, pause := range []int{1, 4, 20, 40} {
		It(fmt.Sprintf("isolates the crashing part in time and no other, %d ms between requests with it", 100*pause), func() {
			for seed := range uint64(100) {
				f := newStreamFleet(9, seed)
				for range 160 {
					f.step()
				}
				f.attack(340, pause)
				Expect(f.active).To(HaveLen(1), "seed %d", seed)
				Expect(f.isolated(poisonedPart)).To(BeTrue(), "seed %d", seed)
				late := 0
				for _, at := range f.arrivals {
					if at > f.crashes[crashesKnown-1]+contactSteps {
						late++
					}
				}
				Expect(late).To(BeNumerically("<=", lateAllowed), "seed %d", seed)
			}
		})
	}
})
