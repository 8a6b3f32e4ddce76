package hoster

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/declarer"
)

// Guards against a host whose own quarantine leaves a model without a usable
// version, or moves all its requests to a version in rollout, beyond its budget.
var _ = ginkgo.DescribeTable("quarantineIsolated", func(state declarer.RolloutState, isolated, want []string) {
	refs := func(names []string) (out []declarer.VersionRef) {
		for _, n := range names {
			out = append(out, declarer.VersionRef{Model: "m", Version: n})
		}
		return out
	}
	view := declarer.View{Config: declarer.Config{Models: []declarer.Model{{
		Name: "m", Stable: "v1", Versions: []declarer.Version{{Name: "v1"}, {Name: "v2"}},
	}}}}
	if state != "" {
		view.Progress = []declarer.Progress{{Model: "m", Version: "v2", State: state}}
	}
	got := quarantineIsolated(declarer.NewCatalog(view), refs(isolated))
	Expect(got.View.Quarantined).To(ConsistOf(refs(want)))
},
	ginkgo.Entry("another usable version exists", declarer.RolloutState(""), []string{"v1"}, []string{"v1"}),
	ginkgo.Entry("the last usable version is not quarantined", declarer.RolloutState(""), []string{"v1", "v2"}, []string{"v1"}),
	ginkgo.Entry("the other version is in rollout", declarer.RolloutRunning, []string{"v1"}, nil),
	ginkgo.Entry("the rollout of the other version is halted", declarer.RolloutHalted, []string{"v1"}, nil),
	ginkgo.Entry("the rollout of the other version is done", declarer.RolloutDone, []string{"v1"}, []string{"v1"}),
	ginkgo.Entry("the isolated version is in rollout", declarer.RolloutRunning, []string{"v2"}, []string{"v2"}),
)
