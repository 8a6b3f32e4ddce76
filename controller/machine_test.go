package controller_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
)

var epoch = time.UnixMilli(1_800_000_000_000).UTC()

// loggedMachine is a machine with the index of its last log entry and the time
// of the next.
type loggedMachine struct {
	*controller.Machine
	index uint64
	at    time.Time
}

func TestController(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controller")
}

func newLoggedMachine(check controller.Checker) *loggedMachine {
	return &loggedMachine{Machine: controller.New(check), at: epoch}
}

// applyEntry applies one log entry with the items and returns its answers.
func (b *loggedMachine) applyEntry(items ...controller.Item) []controller.Answer {
	cmd, err := controller.Encode(controller.Command{At: b.at, Items: items})
	Expect(err).NotTo(HaveOccurred())
	b.index++
	res, err := controller.Decode(b.Apply(b.index, cmd))
	Expect(err).NotTo(HaveOccurred())
	return res.Answers
}

func (b *loggedMachine) apply(office, id string, base uint64, c declarer.Config) *controller.ApplyResult {
	return b.applyEntry(controller.Item{Apply: newApply(office, id, base, c)})[0].Apply
}

func newApply(office, id string, base uint64, c declarer.Config) *controller.Apply {
	text, err := controller.EncodeConfig(c)
	if err != nil {
		panic(err)
	}
	return &controller.Apply{Office: office, ChangeID: id, Base: base, Config: text, Digest: sha256.Sum256(text)}
}

func model(name, owner, stable string, versions ...string) declarer.Model {
	m := declarer.Model{Name: name, Intent: declarer.Intent{Owner: owner, Why: "test"}, Stable: stable}
	for _, v := range versions {
		m.Versions = append(m.Versions, declarer.Version{Name: v, Quality: 0.5})
	}
	return m
}

func rollout(name, owner, version string, shares ...float64) declarer.Rollout {
	r := declarer.Rollout{Model: name, Version: version, Intent: declarer.Intent{Owner: owner, Why: "test"}}
	for _, s := range shares {
		r.Stages = append(r.Stages, declarer.Stage{Share: s, Soak: time.Minute, Budget: 10})
	}
	return r
}

func workspace(name, owner, why string) declarer.Workspace {
	return declarer.Workspace{Name: name, Intent: declarer.Intent{Owner: owner, Why: why}}
}

// randomItem returns an item of a random kind. Keys, names and versions are
// drawn from small sets, so that many items concern the same ones.
func randomItem(rng *rand.Rand, b *loggedMachine) controller.Item {
	request := fmt.Sprintf("r%d", rng.IntN(40))
	var u uuid.UUID
	ms := b.at.Add(-time.Duration(rng.IntN(200)) * time.Minute).Truncate(10 * time.Minute).UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8], u[15] = 0x70, 0x80, byte(rng.IntN(8))
	key := claimer.Key{Workspace: "w", Service: "s", Key: u.String()}
	pin := pinner.Pin{Workspace: "w", Session: request, Model: "m", Version: fmt.Sprintf("v%d", rng.IntN(3))}
	switch rng.IntN(12) {
	case 0:
		base := b.Declared().Version
		if rng.IntN(5) == 0 {
			base = rng.Uint64N(base + 1)
		}
		return controller.Item{Apply: newApply([]string{"a", "b"}[rng.IntN(2)], fmt.Sprint(rng.IntN(1000)), base, randomConfig(rng))}
	case 1, 2:
		return controller.Item{Claim: &claimer.Request{Key: key, RequestID: request, Owner: "h", Timeout: time.Minute}}
	case 3:
		return controller.Item{Finish: &controller.Finish{Key: key, RequestID: request, Response: claimer.Response{Status: 200, Body: []byte(request)}}}
	case 4:
		return controller.Item{Release: &controller.Release{Key: key, RequestID: request}}
	case 5:
		return controller.Item{Pin: &pin}
	case 6:
		old := pin
		old.Version = "v1"
		return controller.Item{Repin: &controller.Repin{Old: old, New: pin}}
	case 7:
		return controller.Item{Bill: &controller.Bill{Records: []biller.Record{{
			ID: request, Revision: rng.Uint32N(3), Workspace: "w", Member: "m", CostNanos: rng.Int64N(9),
			At: b.at.Add(-time.Duration(rng.IntN(200)) * time.Minute).In(time.FixedZone("", rng.IntN(3)*3600)),
		}}}}
	case 8:
		actions := []controller.PromoteAction{controller.Advance, controller.Advance, controller.Spend, controller.Halt, controller.Done}
		return controller.Item{Promote: &controller.Promote{
			Model: "m", Version: "v2", Action: actions[rng.IntN(5)], Stage: rng.IntN(3), Spent: rng.Int64N(9),
		}}
	case 9:
		return controller.Item{Quarantine: &controller.Quarantine{
			Ref: declarer.VersionRef{Model: "m", Version: pin.Version}, Return: rng.IntN(2) == 0,
		}}
	case 10:
		return controller.Item{Own: &controller.OwnRequest{
			Engine: fmt.Sprintf("e%d", rng.IntN(3)), Owner: fmt.Sprintf("h%d", rng.IntN(3)), Drop: rng.IntN(4) == 0,
		}}
	}
	return controller.Item{Prune: &controller.Prune{}}
}

// randomConfig returns a configuration owned by office a with short retentions.
func randomConfig(rng *rand.Rand) declarer.Config {
	c := declarer.Config{
		Models:    []declarer.Model{model("m", "a", "v1", "v0", "v1", "v2")},
		Rollouts:  []declarer.Rollout{rollout("m", "a", "v2", 0.1, 0.5, 1)},
		Retention: declarer.Retention{Claims: time.Hour, Pins: 20 * time.Minute, Bills: time.Hour},
		Workspaces: []declarer.Workspace{{
			Name: "w", Intent: declarer.Intent{Owner: "a", Why: fmt.Sprint(rng.IntN(4))},
			Quality: map[declarer.Kind]float64{declarer.KindChat: 0.5, declarer.KindLong: 0.75, declarer.KindShort: 0.25},
		}},
	}
	if rng.IntN(4) == 0 {
		c.Withdrawals = []declarer.Withdrawal{{Model: "m", Version: "v2", Intent: declarer.Intent{Owner: "a", Why: "bad"}}}
	}
	if rng.IntN(3) == 0 {
		c.Models[0].Stable = "v2"
		c.Rollouts = nil
	}
	return c
}

var _ = Describe("Machine", func() {
	// Guards against members of the control group that diverge after the same
	// log or after a restore from a snapshot, and against a snapshot that
	// contains commands applied while it was written.
	It("reaches the same state from the same log and from a snapshot", func() {
		const seed, entries = 17, 6000
		rng := rand.New(rand.NewPCG(seed, seed))
		first, second := newLoggedMachine(nil), newLoggedMachine(nil)
		restored := controller.New(nil)
		outcomes := map[string]int{}
		frozen, frozenWant := first.Freeze(), []byte(nil)
		for n := range entries {
			first.at = first.at.Add(time.Duration(rng.IntN(8000)) * time.Millisecond)
			items := make([]controller.Item, 1+rng.IntN(3))
			for i := range items {
				items[i] = randomItem(rng, first)
			}
			cmd, err := controller.Encode(controller.Command{At: first.at, Items: items})
			Expect(err).NotTo(HaveOccurred())
			if rng.IntN(200) == 0 {
				cmd = cmd[:rng.IntN(len(cmd))] // A truncated command.
			}
			first.index++
			want := first.Apply(first.index, cmd)
			Expect(second.Apply(first.index, cmd)).To(Equal(want))
			restored.Apply(first.index, cmd)
			res, err := controller.Decode(want)
			for _, r := range res.Answers {
				switch {
				case r.Apply != nil:
					outcomes[string(r.Apply.State)]++
				case r.Promote != nil && r.Promote.OK:
					outcomes["promoted"]++
				case r.Claim != nil:
					outcomes[string(r.Claim.State)]++
				}
			}
			if err != nil {
				outcomes["fault"]++
			}
			if rng.IntN(100) != 0 && n != entries-1 {
				continue
			}
			snap, err := first.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			for _, m := range []*controller.Machine{second.Machine, restored} {
				got, err := m.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				Expect(sha256.Sum256(got)).To(Equal(sha256.Sum256(snap)), "seed %d, entry %d", seed, n)
				Expect(m.View()).To(Equal(first.View()))
			}
			late, err := frozen()
			Expect(err).NotTo(HaveOccurred())
			if frozenWant != nil {
				Expect(sha256.Sum256(late)).To(Equal(sha256.Sum256(frozenWant)), "seed %d, entry %d", seed, n)
			}
			frozen, frozenWant = first.Freeze(), snap
			restored = controller.New(nil)
			Expect(restored.Restore(snap)).To(Succeed())
			Expect(restored.View()).To(Equal(first.View()))
		}
		for _, s := range []string{"accepted", "rejected", "conflict", "promoted", "granted", "expired", "fault"} {
			Expect(outcomes[s]).To(BeNumerically(">", 5), "%s occurred too rarely: %v", s, outcomes)
		}
	})

	// Guards against a host that misses a change of the view made between its
	// calls of Changed and View, and against repeated versions.
	It("signals every change of the view and increases its version", func() {
		b := newLoggedMachine(nil)
		changed, last := b.Changed(), b.View().Version
		rng := rand.New(rand.NewPCG(1, 1))
		for range 500 {
			b.applyEntry(randomItem(rng, b))
			select {
			case <-changed:
				Expect(b.View().Version).To(And(BeNumerically(">", last), Equal(b.index)))
				changed, last = b.Changed(), b.View().Version
			default:
				Expect(b.View().Version).To(Equal(last))
			}
		}
	})

	// Guards against a session that changes its version because two hosts pin
	// it, or because a repin based on an older pin arrives late.
	It("keeps the first pin until it is replaced or unused", func() {
		b := newLoggedMachine(nil)
		p := func(v string) pinner.Pin { return pinner.Pin{Workspace: "w", Session: "s", Model: "m", Version: v} }
		pin := func(v string) string {
			x := p(v)
			return b.applyEntry(controller.Item{Pin: &x})[0].Pin.Version
		}
		repin := func(old, v string) string {
			return b.applyEntry(controller.Item{Repin: &controller.Repin{Old: p(old), New: p(v)}})[0].Pin.Version
		}
		Expect(pin("v1")).To(Equal("v1"))
		Expect(pin("v2")).To(Equal("v1"))
		Expect(repin("v1", "v2")).To(Equal("v2"))
		Expect(repin("v1", "v3")).To(Equal("v2"))
		Expect(repin("v1", "v2")).To(Equal("v2"), "a resend gets the same answer")
		b.at = b.at.Add(controller.DefaultPinRetention)
		Expect(pin("v9")).To(Equal("v2"))
		b.at = b.at.Add(time.Minute)
		b.applyEntry(controller.Item{Prune: &controller.Prune{}})
		Expect(pin("v9")).To(Equal("v2"), "the pin was used a minute ago")
		b.at = b.at.Add(controller.DefaultPinRetention + time.Second)
		b.applyEntry(controller.Item{Prune: &controller.Prune{}})
		Expect(pin("v9")).To(Equal("v9"))
	})

	// Guards against two owners of an engine with the same token, and against
	// a token that is issued again.
	It("gives an engine one owner at a time with increasing tokens", func() {
		b := newLoggedMachine(nil)
		rng := rand.New(rand.NewPCG(23, 23))
		last := uint64(0)
		holder, until := "", time.Time{}
		for range 2000 {
			b.at = b.at.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			items := make([]controller.Item, 1+rng.IntN(3))
			for i := range items {
				items[i].Own = &controller.OwnRequest{
					Engine: "e", Owner: fmt.Sprintf("h%d", rng.IntN(3)),
					Lease: 4 * time.Second, Drop: rng.IntN(5) == 0,
				}
			}
			for i, a := range b.applyEntry(items...) {
				name := items[i].Own.Owner
				if items[i].Own.Drop {
					if name == holder {
						until = b.at
					}
					continue
				}
				live := b.at.Before(until)
				if !a.Own.Granted {
					Expect(live && holder != name || a.Own.Token == b.index).To(BeTrue())
					continue
				}
				Expect(!live || holder == name).To(BeTrue())
				if live {
					Expect(a.Own.Token).To(Equal(last), "a renewal keeps the token")
				} else {
					Expect(a.Own.Token).To(BeNumerically(">", last))
				}
				holder, until, last = name, a.Own.Until, a.Own.Token
			}
		}
	})

	It("refuses a snapshot of another format and keeps its state", func() {
		b := newLoggedMachine(nil)
		b.apply("a", "1", 0, randomConfig(rand.New(rand.NewPCG(1, 1))))
		want, _ := b.Snapshot()
		Expect(b.Restore([]byte{0xa0})).To(BeAssignableToTypeOf(&controller.FormatError{}))
		Expect(b.Restore([]byte("x"))).NotTo(Succeed())
		Expect(b.Snapshot()).To(Equal(want))
	})
})

// FuzzApply guards against a command that crashes every member of the control
// group, or leaves a state that a snapshot cannot represent.
func FuzzApply(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := &loggedMachine{Machine: controller.New(nil), at: epoch}
	for range 60 {
		cmd, err := controller.Encode(controller.Command{At: epoch, Items: []controller.Item{randomItem(rng, b)}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(cmd)
	}
	f.Fuzz(func(t *testing.T, cmd []byte) {
		m := controller.New(nil)
		for i := range uint64(2) {
			if _, err := controller.Decode(m.Apply(i+1, cmd)); err != nil {
				return
			}
		}
		snap, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		other := controller.New(nil)
		if err := other.Restore(snap); err != nil {
			t.Fatal(err)
		}
		if again, _ := other.Snapshot(); string(again) != string(snap) {
			t.Fatalf("the snapshot changed when it was restored: %x, %x", snap, again)
		}
	})
}
