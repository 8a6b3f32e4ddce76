package matcher_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
)

func TestMatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "matcher")
}

func valid() matcher.Config {
	return matcher.Config{
		Version: 1,
		Routes: []matcher.Route{
			{Name: "root", Host: "a.example", Prefix: "/", Timeout: time.Second, Splits: []matcher.Split{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Timeout: time.Second, Splits: []matcher.Split{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
		},
		Services:   []matcher.Service{{Name: "s"}, {Name: "t"}},
		Workspaces: []matcher.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v", Keys: []string{"k3"}}},
	}
}

var _ = Describe("Table", func() {
	// Guards against matching a prefix that ends within a path segment, and
	// against a shorter prefix that hides a longer one.
	DescribeTable("finds the longest prefix",
		func(host, path, want string) {
			r, ok := matcher.New(valid()).Route(host, path)
			Expect(ok).To(Equal(want != ""))
			if ok {
				Expect(r.Name).To(Equal(want))
			}
		},
		Entry("path below the prefix", "a.example", "/x/y/z", "deep"),
		Entry("prefix itself", "a.example", "/x/y/", "deep"),
		Entry("prefix without its last slash", "a.example", "/x/y", "root"),
		Entry("longer path segment", "a.example", "/x/yy/z", "root"),
		Entry("other host", "b.example", "/x/y/z", ""),
	)

	// Guards against a key that gives access to the wrong workspace.
	It("finds the workspace of a key", func() {
		t := matcher.New(valid())
		w, ok := t.Workspace("k3")
		Expect(ok).To(BeTrue())
		Expect(w.Name).To(Equal("v"))
		_, ok = t.Workspace("")
		Expect(ok).To(BeFalse())
	})

	// Guards against a traffic split that differs from the weights.
	It("splits by weight", func() {
		c := valid()
		n := 0
		for hash := range uint64(100) {
			if c.Routes[1].PickService(hash) == "t" {
				n++
			}
		}
		Expect(n).To(Equal(10))
	})
})

// Guards against activating an invalid configuration.
var _ = DescribeTable("Check",
	func(change func(*matcher.Config), where string) {
		c := valid()
		change(&c)
		faults := matcher.Check(c)
		if where == "" {
			Expect(faults).To(BeEmpty())
			return
		}
		Expect(faults).NotTo(BeEmpty())
		Expect(faults[0].Where).To(Equal(where))
	},
	Entry("valid", func(*matcher.Config) {}, ""),
	Entry("unknown service", func(c *matcher.Config) { c.Routes[0].Splits[0].Service = "none" }, "route root"),
	Entry("same host and prefix", func(c *matcher.Config) { c.Routes[1].Prefix = "/" }, "route deep"),
	Entry("weights of 0", func(c *matcher.Config) { c.Routes[0].Splits[0].Weight = 0 }, "route root"),
	Entry("no splits", func(c *matcher.Config) { c.Routes[0].Splits = nil }, "route root"),
	Entry("timeout of 0", func(c *matcher.Config) { c.Routes[0].Timeout = 0 }, "route root"),
	Entry("shared key", func(c *matcher.Config) { c.Workspaces[1].Keys[0] = "k1" }, "workspace v"),
	Entry("no version", func(c *matcher.Config) { c.Version = 0 }, "version"),
)
