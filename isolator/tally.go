package isolator

import (
	"maps"
	"slices"
	"time"

	"foxtailwall/controller"
)

const (
	// tallySlot is the time that one tally covers. tallySlots of them are reported, so
	// that neither a lost report nor a new leader misses one.
	tallySlot  = 500 * time.Millisecond
	tallySlots = 8
	// maxTalliedParts bounds the parts that a host counts in a slot, and maxTallies the
	// tallies that the leader remembers, which it does for tallyTTL.
	maxTalliedParts = 4096
	maxTallies      = 1 << 17
	tallyTTL        = 15 * time.Second
)

type (
	// Tally counts the attempts that a host sent within a slot of time.
	Tally struct {
		// Part is the prompt part that the attempts had. With Whole, they are all
		// attempts to Part.Service.
		Part  controller.PromptPart `cbor:"part"`
		Whole bool                  `cbor:"whole,omitempty"`
		// Slot numbers the host's slots, and Age is the time since it began.
		Slot uint64        `cbor:"slot"`
		Age  time.Duration `cbor:"age"`
		// Sent counts the attempts that were sent in the slot, and Answered those of
		// them that got a whole response; it is zero unless Whole.
		Sent     int `cbor:"sent,omitempty"`
		Answered int `cbor:"answered,omitempty"`
	}

	// tallied identifies what a Tally counts.
	tallied struct {
		part  controller.PromptPart
		whole bool
	}

	tallyCount struct{ sent, answered int }

	// slotTallies are the tallies of a host for one slot.
	slotTallies struct {
		slot   uint64
		counts map[tallied]tallyCount
	}

	// hostTallies are the tallies of a host. The zero value is ready to use; it is
	// guarded by Recorder.mu.
	hostTallies struct {
		// slots are in the order of time, those without attempts left out.
		slots []slotTallies
		// services are those with attempts since the start.
		services []string
	}

	tallyKey struct {
		host, slot uint64
		what       tallied
	}

	// knownTally is the latest report of a tally, and the interval of the leader's
	// time that it is added to.
	knownTally struct {
		interval int64
		count    tallyCount
	}

	intervalKey struct {
		interval int64
		what     tallied
	}

	// tallies are those of all hosts, as the leader knows them. The zero value is
	// ready to use; it is guarded by Judge.mu.
	tallies struct {
		known  map[tallyKey]knownTally
		totals map[intervalKey]tallyCount
		// oldest is the interval before which all tallies were dropped.
		oldest int64
	}
)

// whole identifies all attempts to a service.
func whole(service string) tallied {
	return tallied{part: controller.PromptPart{Service: service}, whole: true}
}

// add adds to the tallies of a slot, if it is among the last tallySlots.
func (h *hostTallies) add(slot uint64, what tallied, n tallyCount) {
	if len(h.slots) == 0 || h.slots[len(h.slots)-1].slot < slot {
		h.slots = append(h.slots, slotTallies{slot: slot, counts: make(map[tallied]tallyCount)})
		if len(h.slots) > tallySlots {
			h.slots = append(h.slots[:0], h.slots[1:]...)
		}
	}
	for _, s := range h.slots {
		if s.slot != slot {
			continue
		}
		c, ok := s.counts[what]
		if !ok && len(s.counts) >= maxTalliedParts {
			return
		}
		if !ok && what.whole && !slices.Contains(h.services, what.part.Service) {
			h.services = append(h.services, what.part.Service)
		}
		s.counts[what] = tallyCount{c.sent + n.sent, c.answered + n.answered}
	}
}

// report returns the tallies of all services, and of the suspects.
func (h *hostTallies) report(now time.Duration, suspects []controller.PromptPart) []Tally {
	reported := make([]tallied, 0, len(h.services)+len(suspects))
	for _, s := range h.services {
		reported = append(reported, whole(s))
	}
	for _, p := range suspects {
		reported = append(reported, tallied{part: p})
	}
	var out []Tally
	for _, s := range h.slots {
		age := now - time.Duration(s.slot)*tallySlot
		if age > tallySlots*tallySlot {
			continue
		}
		for _, what := range reported {
			if n, ok := s.counts[what]; ok {
				out = append(out, Tally{Part: what.part, Whole: what.whole, Slot: s.slot, Age: age, Sent: n.sent, Answered: n.answered})
			}
		}
	}
	return out
}

// interval returns the number of the interval of tallySlot that a time is in.
func interval(t time.Time) int64 { return t.UnixNano() / int64(tallySlot) }

// add adds a tally, or what is new of one that is known.
func (t *tallies) add(host uint64, tl Tally, now time.Time) {
	if t.known == nil {
		t.known, t.totals = make(map[tallyKey]knownTally), make(map[intervalKey]tallyCount)
	}
	what := tallied{part: tl.Part, whole: tl.Whole}
	key := tallyKey{host, tl.Slot, what}
	k, ok := t.known[key]
	if !ok {
		if len(t.known) >= maxTallies {
			return
		}
		k.interval = interval(now.Add(-tl.Age))
	}
	total := t.totals[intervalKey{k.interval, what}]
	total.sent += max(0, tl.Sent-k.count.sent)
	total.answered += max(0, tl.Answered-k.count.answered)
	t.totals[intervalKey{k.interval, what}] = total
	k.count = tallyCount{max(tl.Sent, k.count.sent), max(tl.Answered, k.count.answered)}
	t.known[key] = k
}

// between returns the sum of the intervals that begin at or after one time, less
// before, and end with the interval of another.
func (t *tallies) between(what tallied, from, to time.Time) tallyCount {
	var sum tallyCount
	for i := interval(from); i <= interval(to); i++ {
		n := t.totals[intervalKey{i, what}]
		sum.sent += n.sent
		sum.answered += n.answered
	}
	return sum
}

// expire drops the tallies that are too old.
func (t *tallies) expire(now time.Time) {
	oldest := interval(now.Add(-tallyTTL))
	if oldest == t.oldest {
		return
	}
	t.oldest = oldest
	maps.DeleteFunc(t.known, func(_ tallyKey, k knownTally) bool { return k.interval < oldest })
	maps.DeleteFunc(t.totals, func(k intervalKey, _ tallyCount) bool { return k.interval < oldest })
}
