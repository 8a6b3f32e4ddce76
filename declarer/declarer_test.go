package declarer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/declarer"
)

const seed = 20261204

func TestDeclarer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "declarer")
}

func validConfig() declarer.Config {
	b := declarer.New("north")
	b.Model("draft", "short texts", "v1").
		Version("v1", declarer.Price{InputNanos: 10, OutputNanos: 30}, 0.8).
		Version("v2", declarer.Price{InputNanos: 10, OutputNanos: 30}, 0.85)
	b.Service("booking", "laser time").
		Once("POST", "/slots", 5*time.Second).
		Idempotent("GET", "/slots", 2*time.Second)
	b.Workspace("counter", "customers at the counter").
		Weigh(declarer.WeighLatency).Allow("draft").Call("booking").
		Member("shop-1", declarer.KeyDigest("one")).
		Quality(declarer.KindChat, 0.75)
	b.Upstream("e1", "engine", "z1", netip.MustParseAddrPort("127.0.0.1:9001")).
		Serves("draft", "v1").Serves("draft", "v2").Slots(8)
	b.Upstream("b1", "bookings", "z1", netip.MustParseAddrPort("127.0.0.1:9002")).Service("booking")
	b.Rollout("draft", "v2", "better spelling").Guard(declarer.Guard{MinQuality: 0.7})
	return b.Config()
}

var _ = Describe("Print and Parse", func() {
	// Guards against printed text that depends on the order of declaration,
	// which would hide real changes in a diff.
	It("gives the same bytes whatever the order of declarations", func() {
		want, err := declarer.Print(validConfig())
		Expect(err).NotTo(HaveOccurred())
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 20 {
			c, err := declarer.Parse(want)
			Expect(err).NotTo(HaveOccurred())
			rng.Shuffle(len(c.Upstreams), func(i, j int) { c.Upstreams[i], c.Upstreams[j] = c.Upstreams[j], c.Upstreams[i] })
			rng.Shuffle(len(c.Models[0].Versions), func(i, j int) {
				v := c.Models[0].Versions
				v[i], v[j] = v[j], v[i]
			})
			Expect(declarer.Print(c)).To(Equal(want))
		}
	})

	// Guards against a misspelt key that is silently ignored.
	DescribeTable("rejects text that is not a configuration", func(text, problem string) {
		_, err := declarer.Parse([]byte(text))
		Expect(err).To(MatchError(ContainSubstring(problem)))
	},
		Entry("an unknown key", "workspaces:\n  - name: a\n    wheigh: cost\n", "line 3"),
		Entry("a repeated key", "models: []\nmodels: []\n", "already defined"),
		Entry("a wrong type", "upstreams:\n  - slots: many\n", "line 2"),
		Entry("two documents", "models: []\n---\nmodels: []\n", "more than one"),
	)
})

var _ = Describe("Check", func() {
	It("accepts a valid configuration and the empty one", func() {
		Expect(declarer.Check(validConfig())).To(BeEmpty())
		Expect(declarer.Check(declarer.Config{})).To(BeEmpty())
	})

	// Guards against an accepted configuration by which requests cannot be
	// routed, billed or attributed.
	DescribeTable("reports a fault at the place of its declaration", func(change func(*declarer.Config), place string) {
		c := validConfig()
		change(&c)
		faults := declarer.Check(c)
		Expect(faults).NotTo(BeEmpty())
		Expect(faults[0].Place).To(Equal(place))
	},
		Entry("no owner", func(c *declarer.Config) { c.Models[0].Owner = "" }, "models[draft]"),
		Entry("no reason", func(c *declarer.Config) { c.Services[0].Why = "" }, "services[booking]"),
		Entry("unknown stable version", func(c *declarer.Config) { c.Models[0].Stable = "v9" }, "models[draft].stable"),
		Entry("unknown allowed model", func(c *declarer.Config) { c.Workspaces[0].Models[0].Model = "x" }, "workspaces[counter].models[x]"),
		Entry("quality above one", func(c *declarer.Config) { c.Models[0].Versions[0].Quality = 1.5 }, "models[draft].versions[v1]"),
		Entry("negative price", func(c *declarer.Config) { c.Models[0].Versions[0].Price.InputNanos = -1 }, "models[draft].versions[v1]"),
		Entry("short digest", func(c *declarer.Config) { c.Workspaces[0].Members[0].KeyDigests[0] = "ab" }, "workspaces[counter].members[shop-1]"),
		Entry("address used twice", func(c *declarer.Config) { c.Upstreams[1].Address = c.Upstreams[0].Address }, "upstreams[e1]"),
		Entry("stage with a smaller share than the previous one", func(c *declarer.Config) { c.Rollouts[0].Stages[1].Share = 0.001 }, "rollouts[draft/v2].stages[1]"),
		Entry("rollout of the stable version", func(c *declarer.Config) { c.Rollouts[0].Version = "v1" }, "rollouts[draft/v1]"),
		Entry("two workspaces with the same name", func(c *declarer.Config) {
			c.Workspaces = append(c.Workspaces, declarer.Workspace{Name: "counter", Intent: c.Workspaces[0].Intent})
		}, "workspaces[counter]"),
	)

	It("reports the faults of several declarations together", func() {
		c := validConfig()
		c.Models[0].Owner, c.Upstreams[0].Zone = "", ""
		Expect(declarer.Check(c)).To(HaveLen(2))
	})
})

var _ = Describe("Diff", func() {
	// Guards against a conflict message that does not name the owner of the
	// changed declaration.
	It("lists changed, added and removed declarations with their owners", func() {
		a, b := validConfig(), validConfig()
		b.Models[0].Versions[0].Price.InputNanos = 11
		b.Rollouts = nil
		b.Withdrawals = []declarer.Withdrawal{{Model: "draft", Version: "v2", Intent: declarer.Intent{Owner: "south", Why: "bad"}}}
		got := declarer.Diff(a, b)
		Expect(got).To(HaveLen(3))
		Expect(got[0]).To(And(HaveField("Kind", declarer.Changed), HaveField("Place", "models[draft]")))
		Expect(got[0].String()).To(ContainSubstring("+      inputNanos: 11"))
		Expect(got[1]).To(And(HaveField("Kind", declarer.Removed), HaveField("OldOwner", "north")))
		Expect(got[2]).To(And(HaveField("Kind", declarer.Added), HaveField("NewOwner", "south")))
	})

	It("returns no changes for equal configurations", func() {
		Expect(declarer.Diff(validConfig(), validConfig())).To(BeEmpty())
	})
})

var _ = Describe("Catalog", func() {
	It("looks up API keys, allowed versions and upstreams", func() {
		c := declarer.NewCatalog(declarer.View{Version: 3, Config: validConfig()})
		h, ok := c.FindKeyHolder(declarer.KeyDigest("one"))
		Expect(ok).To(BeTrue())
		Expect(h.Member).To(Equal("shop-1"))
		Expect(h.Workspace.Allows(declarer.VersionRef{Model: "draft", Version: "v2"})).To(BeTrue())
		Expect(c.Upstreams(declarer.VersionRef{Model: "draft", Version: "v1"})).To(HaveLen(1))
		Expect(c.ServiceUpstreams("booking")).To(HaveLen(1))
	})

	// Guards against requests to an upstream whose zone is evacuated.
	It("omits the upstreams of evacuated zones", func() {
		v := declarer.View{Config: validConfig(), Evacuated: []declarer.Evacuation{{Zone: "z1"}}}
		c := declarer.NewCatalog(v)
		Expect(c.Upstreams(declarer.VersionRef{Model: "draft", Version: "v1"})).To(BeEmpty())
		Expect(c.ServiceUpstreams("booking")).To(BeEmpty())
		v.Evacuated[0].Zone = "z2"
		Expect(declarer.NewCatalog(v).ServiceUpstreams("booking")).To(HaveLen(1))
	})

	// Guards against a call that is treated as idempotent because a shorter
	// path matched first.
	DescribeTable("matches calls by the longest path", func(method, path string, found, idempotent bool) {
		c := declarer.NewCatalog(declarer.View{Config: validConfig()})
		call := c.Service("booking").FindCall(method, path)
		Expect(call != nil).To(Equal(found))
		if found {
			Expect(call.Idempotent).To(Equal(idempotent))
		}
	},
		Entry("exact path", "POST", "/slots", true, false),
		Entry("path below the declared one", "GET", "/slots/7", true, true),
		Entry("path that only starts with the same letters", "GET", "/slotsx", false, false),
		Entry("undeclared method", "DELETE", "/slots", false, false),
	)
})

func FuzzParse(f *testing.F) {
	text, err := declarer.Print(validConfig())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("workspaces:\n  - name: a\n"))
	f.Add([]byte("retention: {claims: 24h}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := declarer.Parse(text)
		if err != nil {
			return
		}
		declarer.Check(c)
		first, err := declarer.Print(c)
		if err != nil {
			t.Fatalf("print: %v", err)
		}
		again, err := declarer.Parse(first)
		if err != nil {
			t.Fatalf("parse the printed text: %v\n%s", err, first)
		}
		second, err := declarer.Print(again)
		if err != nil || string(first) != string(second) {
			t.Fatalf("printing is not stable: %v\n%s\n%s", err, first, second)
		}
	})
}
