package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"foxtailwall/biller"
	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/messenger"
	"foxtailwall/relayer"
	"foxtailwall/timekeeper"
)

// soloGroup is a control group of one member, which applies each command at once.
type soloGroup struct {
	machine *controller.Machine
	index   uint64
}

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "foxtailwall")
}

func (g *soloGroup) ProposeFormat(_ context.Context, cmd []byte, _ uint32) ([]byte, uint64, error) {
	g.index++
	return g.machine.Apply(g.index, cmd), g.index, nil
}

func (g *soloGroup) Barrier(context.Context) (uint64, error) { return g.index, nil }

var _ = Describe("operator subcommands", func() {
	var (
		group    *soloGroup
		isLeader bool
		addr     string
		conf     declarer.Config
	)

	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		root := &cli.Command{
			Name: "foxtailwall", Writer: &out, ErrWriter: &out,
			Commands: []*cli.Command{
				applyCommand(func(string) (declarer.Config, error) { return conf, nil }),
				showCommand(func(c declarer.Config) ([]byte, error) { return []byte(c.Workspaces[0].Why), nil }),
				statusCommand(), ledgerCommand(),
			},
		}
		fullArgs := append([]string{"foxtailwall", args[0], "--control-addrs", addr, "--peer-insecure"}, args[1:]...)
		err := root.Run(context.Background(), fullArgs)
		return out.String(), err
	}

	queue := &relayer.QueueStatus{
		Requests: 5, Refused: map[string]int64{"queueFull": 3, "deadlineTooShort": 1},
		Waiting: []relayer.WaitingGroup{{Workspace: "counter", Priority: 7, Requests: 2, Oldest: 1234567 * time.Microsecond}},
	}
	BeforeEach(func() {
		isLeader = true
		group = &soloGroup{machine: controller.New(nil)}
		mux := messenger.NewMux()
		messenger.HandleControl(mux, messenger.ControlServiceOptions{
			Group: group, Machine: group.machine, Clock: timekeeper.System{},
			Hosts: func() []messenger.HostStatus {
				return []messenger.HostStatus{{Name: "h1", Zone: "a", Version: 1, Live: true, Queue: queue}, {Name: "h2", Zone: "b", Version: 0, Queue: queue}}
			},
			VersionStatus: func(version uint64, leased bool) (messenger.VersionStatus, bool) {
				if leased {
					return messenger.VersionStatus{Version: version, Pending: []string{"h2", "h3"}}, isLeader
				}
				return messenger.VersionStatus{Version: version, InForce: version == 1, Pending: []string{"h3"}, CutOff: []string{"b"}}, isLeader
			},
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		srv := messenger.NewServer(mux, nil)
		go srv.Serve(l)
		DeferCleanup(srv.Close)
		addr = l.Addr().String()
		conf = declarer.Config{Workspaces: []declarer.Workspace{{
			Name: "counter", Intent: declarer.Intent{Owner: "vancouver", Why: "lettering"},
		}}}
	})

	// Guards against an operator who overwrites a change of another office, and
	// against a command that is applied twice when it is sent again.
	It("applies a change once and reports a conflict", func() {
		out, err := run("apply", "--office", "vancouver", "--base", "0", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal("accepted as version 1\n"))
		out, err = run("apply", "--office", "vancouver", "--base", "0", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal("accepted as version 1\n"))
		conf.Workspaces[0].Why = "other"
		_, err = run("apply", "--office", "vancouver", "--base", "0", "f")
		var conflict *conflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring("added workspace counter of vancouver"))
		out, err = run("show")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal("version 1\nlettering"))
	})

	// Guards against a zone without a live host that is reported as up to date.
	It("lists the hosts that do not use the newest version", func() {
		_, err := run("apply", "--office", "vancouver", "--base", "0", "f")
		Expect(err).NotTo(HaveOccurred())
		out, err := run("status")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("zone a: 1 of 1 hosts use version 1"))
		Expect(out).To(ContainSubstring("zone b: 0 of 1 hosts use version 1\n  h2: silent"))
	})

	// Guards against a status that hides the hosts and zones that may still use a
	// withdrawn version, and against one that a control host reports without
	// being the leader.
	It("prints whether the version and the withdrawals are in force", func() {
		conf.Models = []declarer.Model{{Name: "m"}, {Name: "r", CutOff: declarer.CutOffRefuse}}
		conf.Withdrawals = []declarer.Withdrawal{
			{Model: "m", Version: "v1", Intent: declarer.Intent{Owner: "vancouver", Why: "blurs"}},
			{Model: "r", Version: "v2", Intent: declarer.Intent{Owner: "vancouver", Why: "slow"}},
		}
		_, err := run("apply", "--office", "vancouver", "--base", "0", "f")
		Expect(err).NotTo(HaveOccurred())
		out, err := run("status")
		Expect(err).NotTo(HaveOccurred())
		versionStatus := "  version 1: not in force yet, waiting for h2, h3; may still use an older version, cut off: b\n"
		Expect(out).To(HavePrefix("version 1, configuration 1\n" + versionStatus))
		Expect(out).To(ContainSubstring("withdrawn m/v1 by vancouver: blurs\n" + versionStatus))
		Expect(out).To(ContainSubstring("withdrawn r/v2 by vancouver: slow\n  version 1: not in force yet, waiting for h2, h3\n"))
		Expect(out).To(ContainSubstring("h2: silent, seen never; it may still use version 0"))
		isLeader = false
		out, err = run("status")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).NotTo(ContainSubstring("in force"))
	})

	// Guards against requests that wait, or are refused, without the operators seeing
	// it, and against old figures of a host that no longer answers.
	It("prints what waits and what was refused at live hosts", func() {
		out, err := run("status")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("queue of h1: 2 of workspace counter with priority 7, the oldest for 1.235s\nqueue of h1: 3 more\n" +
			"refused by h1 since its start: 1 deadlineTooShort\nrefused by h1 since its start: 3 queueFull\nclaims"))
		Expect(out).NotTo(ContainSubstring("queue of h2"))
	})

	It("prints the ledger and the totals", func() {
		rec := biller.Record{ID: "r1", Workspace: "w", Member: "m", CostNanos: 1_500_000_000, Ending: biller.Complete, At: time.Now(),
			Steps: []biller.Step{{Model: "a", Version: "v1", InputTokens: 3, OutputTokens: 4}}}
		cmd, err := controller.Encode(controller.Command{At: time.Now(), Items: []controller.Item{{Bill: &controller.Bill{Records: []biller.Record{rec}}}}})
		Expect(err).NotTo(HaveOccurred())
		_, _, err = group.ProposeFormat(context.Background(), cmd, 0)
		Expect(err).NotTo(HaveOccurred())
		out, err := run("ledger")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("w/m a/v1 3+4 tokens 1.500000000 complete\n"))
		Expect(out).To(ContainSubstring("total w/m 1 requests 3+4 tokens 1.500000000\n"))
	})

	It("derives the same change ID for the same change only", func() {
		a, err := controller.NewApply("x", "", 1, conf)
		Expect(err).NotTo(HaveOccurred())
		b, _ := controller.NewApply("x", "", 1, conf)
		Expect(b).To(Equal(a))
		other, _ := controller.NewApply("x", "", 2, conf)
		Expect(other.ChangeID).NotTo(Equal(a.ChangeID))
		Expect(a.Digest).To(Equal(sha256.Sum256(a.Config)))
	})
})
