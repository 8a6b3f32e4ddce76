package hoster

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/declarer"
)

// Guards against a host whose own quarantine leaves a model without a version,
// or sends all its requests to a version in rollout, past its budget.
var _ = ginkgo.DescribeTable("overlay", func(state declarer.RolloutState, isolated, want []string) {
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
	got := overlay(declarer.NewCatalog(view), refs(isolated))
	Expect(got.View.Quarantined).To(ConsistOf(refs(want)))
},
	ginkgo.Entry("another version remains", declarer.RolloutState(""), []string{"v1"}, []string{"v1"}),
	ginkgo.Entry("the last version stays", declarer.RolloutState(""), []string{"v1", "v2"}, []string{"v1"}),
	ginkgo.Entry("the other is in rollout", declarer.RolloutRunning, []string{"v1"}, nil),
	ginkgo.Entry("the other is halted", declarer.RolloutHalted, []string{"v1"}, nil),
	ginkgo.Entry("the rollout is done", declarer.RolloutDone, []string{"v1"}, []string{"v1"}),
	ginkgo.Entry("the version in rollout itself", declarer.RolloutRunning, []string{"v2"}, []string{"v2"}),
)
