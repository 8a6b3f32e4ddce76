package pinner_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/declarer"
	"foxtailwall/pinner"
	"foxtailwall/timekeeper"
)

func TestPinner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pinner")
}

func key(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }

var _ = Describe("Signer", func() {
	pin := pinner.Pin{Workspace: "counter", Session: "s-1", Model: "engraver", Version: "v2"}
	var clock *timekeeper.Fake
	BeforeEach(func() { clock = timekeeper.NewFake(time.Unix(1_800_000_000, 0)) })

	// Guards against a session that loses its version during a key rotation.
	DescribeTable("verifies tokens across a key rotation",
		func(signing, verifying [][]byte, fault pinner.Fault) {
			token, err := (&pinner.Signer{Keys: signing, Clock: clock}).Sign(pin)
			Expect(err).NotTo(HaveOccurred())
			got, err := (&pinner.Signer{Keys: verifying, Clock: clock}).Verify(token)
			if fault != "" {
				Expect(err).To(Equal(&pinner.TokenError{Fault: fault}))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(pin))
		},
		Entry("new key added for verification", [][]byte{key(1)}, [][]byte{key(1), key(2)}, pinner.Fault("")),
		Entry("new key signs", [][]byte{key(2), key(1)}, [][]byte{key(1), key(2)}, pinner.Fault("")),
		Entry("old key removed", [][]byte{key(1)}, [][]byte{key(2)}, pinner.Forged),
	)

	// Guards against a caller that alters the pin in a token: any flipped bit
	// or truncation must be detected, and pins that differ only in where one
	// field ends must have different tokens.
	It("refuses every altered token", func() {
		s := &pinner.Signer{Keys: [][]byte{key(1)}, Clock: clock}
		token, err := s.Sign(pin)
		Expect(err).NotTo(HaveOccurred())
		for i := range len(token) {
			_, err := s.Verify(token[:i])
			Expect(err).To(HaveOccurred())
			for bit := range 8 {
				altered := []byte(token)
				altered[i] ^= 1 << bit
				_, err := s.Verify(string(altered))
				Expect(err).To(HaveOccurred(), "byte %d bit %d", i, bit)
			}
		}
		shifted, err := s.Sign(pinner.Pin{Workspace: "counters", Session: "-1", Model: "engraver", Version: "v2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(shifted).NotTo(Equal(token))
		_, err = s.Verify(strings.Repeat("a", 1<<20))
		Expect(err).To(Equal(&pinner.TokenError{Fault: pinner.Malformed}))
	})

	// Guards against tokens that never expire or were issued in the future, and
	// against keys that are too short to be safe.
	It("checks the age of tokens and the length of keys", func() {
		s := &pinner.Signer{Keys: [][]byte{key(1)}, Clock: clock, MaxAge: time.Hour}
		token, err := s.Sign(pin)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Hour + time.Second)
		_, err = s.Verify(token)
		Expect(err).To(Equal(&pinner.TokenError{Fault: pinner.Outdated}))
		s.Clock = timekeeper.NewFake(time.Unix(1_800_000_000-301, 0))
		_, err = s.Verify(token)
		Expect(err).To(Equal(&pinner.TokenError{Fault: pinner.Early}))
		_, err = (&pinner.Signer{Keys: [][]byte{key(1), []byte("short")}}).Sign(pin)
		Expect(err).To(Equal(&pinner.KeyError{Index: 1, Length: 5}))
		_, err = (&pinner.Signer{}).Verify(token)
		Expect(err).To(Equal(&pinner.KeyError{}))
	})
})

var _ = Describe("Assigned", func() {
	// Guards against a session that changes its version more than once while
	// the share rises, and against inaccurate shares.
	It("moves each session once at most while the share rises", func() {
		const seed, sessions = 53, 20_000
		rng := rand.New(rand.NewPCG(seed, seed))
		r := declarer.VersionRef{Model: "engraver", Version: "v2"}
		shares := []float64{0, 0.01, 0.05, 0.25, 0.25, 0.6, 1}
		counts := make([]int, len(shares))
		for range sessions {
			session := fmt.Sprintf("s-%x", rng.Uint64())
			before := false
			for i, share := range shares {
				now := pinner.Assigned(r, session, share)
				Expect(before && !now).To(BeFalse())
				if now {
					counts[i]++
				}
				before = now
			}
		}
		for i, share := range shares {
			Expect(float64(counts[i]) / sessions).To(BeNumerically("~", share, 0.015))
		}
	})
})

var _ = Describe("Cache", func() {
	// Guards against pins that never expire, against unbounded growth, and
	// against a pin returned for another workspace, session or model.
	It("returns a pin only for its session and model, until it expires or is evicted", func() {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		c := pinner.NewCache(clock, 2, time.Minute)
		p := pinner.Pin{Workspace: "w", Session: "s", Model: "m", Version: "v"}
		c.Put(p)
		got, ok := c.Get("w", "s", "m")
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(p))
		for _, k := range [][3]string{{"x", "s", "m"}, {"w", "x", "m"}, {"w", "s", "x"}} {
			_, ok := c.Get(k[0], k[1], k[2])
			Expect(ok).To(BeFalse())
		}
		clock.Advance(time.Minute)
		_, ok = c.Get("w", "s", "m")
		Expect(ok).To(BeFalse())
		for _, session := range []string{"1", "2", "3"} {
			c.Put(pinner.Pin{Workspace: "w", Session: session, Model: "m"})
		}
		_, ok = c.Get("w", "1", "m")
		Expect(ok).To(BeFalse())
	})
})

// FuzzVerify guards against a crash or an accepted token on arbitrary input.
func FuzzVerify(f *testing.F) {
	s := &pinner.Signer{Keys: [][]byte{key(1)}}
	token, err := (&pinner.Signer{Keys: [][]byte{key(2)}}).Sign(pinner.Pin{Workspace: "w"})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{"", "a", "aAAAA", token} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		if _, err := s.Verify(token); err == nil {
			t.Fatal("a token signed with an unknown key was accepted")
		}
	})
}

func BenchmarkSigner(b *testing.B) {
	s := &pinner.Signer{Keys: [][]byte{key(1), key(2)}}
	p := pinner.Pin{Workspace: "counter", Session: "s-1", Model: "engraver", Version: "v2"}
	token, err := s.Sign(p)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := s.Verify(token); err != nil {
			b.Fatal(err)
		}
	}
}
