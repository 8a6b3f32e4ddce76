package claimer_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/claimer"
	"foxtailwall/serializer"
)

const window = time.Hour

type (
	// referenceTable is a simple model of the table: a list with linear search.
	referenceTable struct {
		claims       []*referenceClaim
		newestPruned time.Time
	}

	referenceClaim struct {
		key      uuid.UUID
		digest   [32]byte
		request  string
		deadline time.Time
		released bool
		response *claimer.Response
	}
)

func TestClaimer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claimer")
}

// keyAt returns a UUIDv7 made at t.
func keyAt(t time.Time, rng *rand.Rand) uuid.UUID {
	var u uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	for i := 6; i < 16; i++ {
		u[i] = byte(rng.Uint32())
	}
	u[6], u[8] = u[6]&0x0f|0x70, u[8]&0x3f|0x80
	return u
}

func keyTime(u uuid.UUID) time.Time {
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec)
}

func (n *referenceTable) find(k uuid.UUID) *referenceClaim {
	for _, c := range n.claims {
		if c.key == k {
			return c
		}
	}
	return nil
}

func (n *referenceTable) checkAge(k uuid.UUID, now time.Time) claimer.State {
	at := keyTime(k)
	if at.After(now.Add(claimer.MaxAhead)) {
		return claimer.Invalid
	}
	if at.Before(now.Add(-window)) || !at.After(n.newestPruned) {
		return claimer.Expired
	}
	return claimer.Granted
}

func (n *referenceTable) claim(k uuid.UUID, r claimer.Request, now time.Time) claimer.State {
	c := n.find(k)
	if c == nil {
		s := n.checkAge(k, now)
		if s != claimer.Granted {
			return s
		}
		c = &referenceClaim{key: k, released: true}
		n.claims = append(n.claims, c)
	}
	if c.released {
		if c.request == r.RequestID {
			return claimer.Released
		}
		*c = referenceClaim{key: k, digest: r.Digest, request: r.RequestID, deadline: now.Add(r.Timeout)}
		return claimer.Granted
	}
	if c.digest != r.Digest {
		return claimer.Reused
	}
	if c.response != nil {
		return claimer.Finished
	}
	if !now.Before(c.deadline) {
		return claimer.Lost
	}
	if c.request == r.RequestID {
		return claimer.Granted
	}
	return claimer.Running
}

func (n *referenceTable) release(k uuid.UUID, request string, now time.Time) {
	c := n.find(k)
	if c == nil && n.checkAge(k, now) == claimer.Granted {
		n.claims = append(n.claims, &referenceClaim{key: k, request: request, released: true})
	}
	if c != nil && c.request == request && c.response == nil {
		*c = referenceClaim{key: k, request: request, released: true}
	}
}

func (n *referenceTable) prune(now time.Time, limit int) {
	for range limit {
		first := -1
		for i, c := range n.claims {
			if first < 0 || bytes.Compare(c.key[:], n.claims[first].key[:]) < 0 {
				first = i
			}
		}
		if first < 0 || keyTime(n.claims[first].key).UnixMilli() >= now.Add(-window).UnixMilli() {
			return
		}
		c := n.claims[first]
		if !c.released && c.response == nil && now.Before(c.deadline) {
			return
		}
		n.newestPruned = keyTime(c.key)
		n.claims = append(n.claims[:first], n.claims[first+1:]...)
	}
}

// formatKey returns u in a random one of its text forms.
func formatKey(u uuid.UUID, rng *rand.Rand) string {
	return []string{u.String(), strings.ToUpper(u.String()), "urn:uuid:" + u.String(), "{" + u.String() + "}"}[rng.IntN(4)]
}

var _ = Describe("Table", func() {
	// Guards against a request that runs twice after any sequence of claims,
	// resends, late releases, pruning, clock differences between leaders and
	// restores, and against wrong answers to claims.
	It("grants each key to one request and agrees with the reference table", func() {
		const seed, steps = 11, 20_000
		rng := rand.New(rand.NewPCG(seed, seed))
		now := time.UnixMilli(1_800_000_000_000)
		t, reference := &claimer.Table{}, &referenceTable{}
		var keys []uuid.UUID
		running := map[uuid.UUID]map[string]bool{}
		seen := map[claimer.State]int{}
		for step := range steps {
			now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			if rng.IntN(500) == 0 {
				now = now.Add(-time.Duration(rng.IntN(20)) * time.Minute) // A new leader's clock is behind.
			}
			if len(keys) == 0 || rng.IntN(4) == 0 {
				keys = append(keys, keyAt(now.Add(time.Duration(rng.IntN(90)-80)*time.Minute), rng))
			}
			k := keys[len(keys)-1-rng.IntN(min(len(keys), 1+rng.IntN(2000)))]
			key := claimer.Key{Workspace: "w", Service: "s", Key: formatKey(k, rng)}
			request := fmt.Sprintf("r%d", rng.IntN(4))
			at := fmt.Sprintf("seed %d, step %d", seed, step)
			switch rng.IntN(8) {
			case 0:
				if t.Finish(key, request, claimer.Response{Status: 200}) {
					reference.find(k).response = &claimer.Response{Status: 200}
				}
			case 1:
				t.Release(key, request, now, window)
				reference.release(k, request, now)
				if c := reference.find(k); c == nil || c.request != request || c.response == nil {
					delete(running[k], request)
				}
			case 2:
				t.Prune(now, window, 3)
				reference.prune(now, 3)
			case 3:
				if rng.IntN(100) == 0 {
					b, err := serializer.Marshal(t.Export())
					Expect(err).NotTo(HaveOccurred())
					var e claimer.Export
					Expect(serializer.UnmarshalState(b, &e)).To(Succeed())
					t = &claimer.Table{}
					t.Import(e)
				}
			default:
				r := claimer.Request{Key: key, RequestID: request, Timeout: time.Duration(1+rng.IntN(300)) * time.Second}
				r.Digest[0] = byte(rng.IntN(20) / 19)
				got := t.Claim(r, now, window)
				Expect(got.State).To(Equal(reference.claim(k, r, now)), at)
				seen[got.State]++
				if got.State == claimer.Granted {
					if running[k] == nil {
						running[k] = map[string]bool{}
					}
					running[k][request] = true
					Expect(running[k]).To(HaveLen(1), at)
				}
			}
			Expect(t.Len()).To(Equal(len(reference.claims)), at)
		}
		for _, s := range []claimer.State{
			claimer.Granted, claimer.Running, claimer.Finished, claimer.Lost,
			claimer.Reused, claimer.Expired, claimer.Invalid, claimer.Released,
		} {
			Expect(seen[s]).To(BeNumerically(">", 10), "state %s occurred too rarely", s)
		}
	})

	// Guards against a second run under a pruned key when the clock of the next
	// leader is behind that of the leader that pruned it.
	It("refuses a pruned key after the clock went back", func() {
		now := time.UnixMilli(1_800_000_000_000)
		k := claimer.Key{Key: keyAt(now, rand.New(rand.NewPCG(1, 1))).String()}
		r := claimer.Request{Key: k, RequestID: "a", Timeout: time.Second}
		t := &claimer.Table{}
		Expect(t.Claim(r, now, window).State).To(Equal(claimer.Granted))
		Expect(t.Prune(now.Add(2*window), window, 10)).To(Equal(1))
		r.RequestID = "b"
		Expect(t.Claim(r, now, window).State).To(Equal(claimer.Expired))
	})

	// Guards against the loss of a claim whose key expires while the request is
	// running.
	It("does not prune a claim whose request may be running", func() {
		now := time.UnixMilli(1_800_000_000_000)
		k := claimer.Key{Key: keyAt(now.Add(-window+time.Second), rand.New(rand.NewPCG(1, 1))).String()}
		t := &claimer.Table{}
		t.Claim(claimer.Request{Key: k, RequestID: "a", Timeout: time.Minute}, now, window)
		Expect(t.Prune(now.Add(30*time.Second), window, 10)).To(BeZero())
		Expect(t.Finish(k, "a", claimer.Response{Status: 201})).To(BeTrue())
		Expect(t.Prune(now.Add(30*time.Second), window, 10)).To(Equal(1))
	})

	DescribeTable("refuses keys that are not a UUIDv7", func(key string) {
		t := &claimer.Table{}
		Expect(t.Claim(claimer.Request{Key: claimer.Key{Key: key}}, time.Now(), window).State).To(Equal(claimer.Invalid))
	},
		Entry("empty", ""),
		Entry("not a UUID", "order-17"),
		Entry("version 4", "8c5b1f8e-3f5a-4c0e-9d0c-5f1f6a3f7b11"),
		Entry("variant other than RFC 4122", "0197f5d8-6c3a-7b6e-1d43-0f4c2a5b7e10"),
	)

	// Guards against large stored responses, which would enlarge every later
	// snapshot.
	It("drops a response body above the limit and marks it as truncated", func() {
		now := time.UnixMilli(1_800_000_000_000)
		r := claimer.Request{Key: claimer.Key{Key: keyAt(now, rand.New(rand.NewPCG(2, 2))).String()}, RequestID: "a"}
		t := &claimer.Table{}
		t.Claim(r, now, window)
		t.Finish(r.Key, "a", claimer.Response{Status: 200, Body: make([]byte, claimer.MaxResponse+1)})
		got := t.Claim(r, now, window)
		Expect(got.State).To(Equal(claimer.Finished))
		Expect(got.Response.Truncated).To(BeTrue())
		Expect(got.Response.Body).To(BeEmpty())
	})
})
