package demonstrator

import (
	"context"
	"encoding/hex"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"foxtailwall/declarer"
	"foxtailwall/hoster"
	"foxtailwall/loader"
	"foxtailwall/timekeeper"
)

const (
	testSeed = 11
	testRate = 30
	// freezeDuration exceeds the lease and the election timeout of the control
	// group.
	freezeDuration = 2 * time.Second
)

func TestDemonstrator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demonstrator")
}

// process is a host that runs as a separate process.
type process struct {
	set hoster.Settings
	cmd *exec.Cmd
}

var _ = Describe("Separate processes", Ordered, func() {
	var binary string

	BeforeAll(func() {
		binary = filepath.Join(GinkgoT().TempDir(), "foxtailwall")
		out, err := exec.Command("go", "build", "-o", binary, "foxtailwall/cmd/foxtailwall").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	})

	// Guards against bookings that run twice, lost or duplicate bills, older
	// configurations coming back into force and lost claims when processes
	// are killed and restarted under load, or freeze past their lease.
	It("lose nothing that was acknowledged when they are killed under load", func(ctx context.Context) {
		p := startProcesses(ctx, binary)
		audit := loader.NewAudit(loader.AuditConfig{})
		d := &demo{start: time.Now(), clock: timekeeper.System{}, fleet: p.fleet, cluster: p.cluster, audit: audit, op: p.cluster.operator()}
		d.conf.Progress = GinkgoWriter
		north, south := p.fleet.declarations()
		d.offices = offices{north: north, south: south}
		// Control hosts sync their disks several times before they listen.
		Eventually(func() error { _, err := d.op.Export(ctx); return err }).WithContext(ctx).WithTimeout(time.Minute).Should(Succeed())
		_, err := d.apply(ctx, "north", d.offices.config())
		Expect(err).NotTo(HaveOccurred())
		Expect(d.awaitEverywhere(ctx, d.offices.version)).To(Succeed())

		conf := d.offices.config()
		kill := func(at time.Duration, i int) loader.Event {
			return loader.Event{Name: "kill " + p.hosts[i].set.Name, At: at, Do: func(context.Context) error {
				p.kill(i)
				p.start(binary, i)
				return nil
			}}
		}
		freeze := func(at time.Duration, i int) loader.Event {
			return loader.Event{Name: "freeze " + p.hosts[i].set.Name, At: at, Do: func(ctx context.Context) error {
				return p.freeze(ctx, i, freezeDuration)
			}}
		}
		d.load = loader.New(loader.Config{
			Clock: d.clock, Seed: testSeed, Entries: p.cluster.entries(), Mix: bookingMix(),
			Workspaces: loader.WorkspacesFromConfig(conf, apiKeys(conf)), Rate: testRate, Duration: 10 * time.Second,
			Timeout: 20 * time.Second, Audit: audit,
			Events: []loader.Event{
				kill(1*time.Second, 0), kill(2*time.Second, 1), kill(3*time.Second, 2),
				{Name: "change", At: 3500 * time.Millisecond, Do: func(ctx context.Context) error {
					_, err := d.apply(ctx, "south", withGiftsShare(d.offices.config()))
					return err
				}},
				kill(4*time.Second, 4), kill(5*time.Second, 3), freeze(6*time.Second, 0), freeze(7*time.Second, 2),
			},
		})
		Expect(d.load.Run(ctx)).To(Succeed())
		Expect(d.load.Failures()).To(BeEmpty())
		Expect(d.awaitEverywhere(ctx, d.offices.version)).To(Succeed())
		res, err := d.collectResult(ctx)
		Expect(err).NotTo(HaveOccurred())
		res.Print(GinkgoWriter)
		Expect(res.Verdict.Broken()).To(BeZero())
		for _, promise := range []int{1, 4, 5, 7} {
			Expect(res.Verdict.Promises[promise-1].Checked).To(BeNumerically(">", 0), "promise %d", promise)
		}
	}, NodeTimeout(3*time.Minute))
})

type processes struct {
	fleet        *fleet
	cluster      *cluster
	hosts        []*process
	sessionKeys  string
	operatorKeys string
}

// startProcesses starts the stand-ins in the test process and every host in a
// separate process.
func startProcesses(ctx context.Context, binary string) *processes {
	clock, net := timekeeper.System{}, newNetwork()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f, err := startFleet(ctx, clock, testSeed, []string{"a", "b", "c"}, net)
	Expect(err).NotTo(HaveOccurred())
	folder := GinkgoT().TempDir()
	c, err := newCluster(clock, net, f, folder, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	p := &processes{fleet: f, cluster: c, sessionKeys: filepath.Join(folder, "session.keys"), operatorKeys: filepath.Join(folder, "operator.keys")}
	Expect(os.WriteFile(p.operatorKeys, []byte(operatorKey), 0o600)).To(Succeed())
	key := hex.EncodeToString(c.hosts[0].set.SessionKeys[0])
	Expect(os.WriteFile(p.sessionKeys, []byte(key), 0o600)).To(Succeed())
	for i, n := range c.hosts {
		p.hosts = append(p.hosts, &process{set: n.set})
		for _, addr := range []netip.AddrPort{n.set.Callers, n.set.Operators, n.set.Peers} {
			Expect(c.listeners[addr].Close()).To(Succeed())
		}
		p.start(binary, i)
	}
	DeferCleanup(func() {
		for i := range p.hosts {
			p.kill(i)
		}
		cancel()
		f.close()
	})
	return p
}

func (p *processes) start(binary string, i int) {
	h := p.hosts[i]
	args := []string{
		"serve", "--entry", "--name", h.set.Name, "--zone", h.set.Zone, "--callers", h.set.Callers.String(),
		"--operators", h.set.Operators.String(), "--peers", h.set.Peers.String(), "--platform", h.set.Platform.String(),
		"--rater", h.set.Rater.String(), "--session-keys", p.sessionKeys, "--operator-keys", p.operatorKeys,
		"--caller-insecure", "--peer-insecure", "--upstream-insecure", "--control", strings.Join(h.set.Control, ","),
	}
	if h.set.DataFolder != "" {
		args = append(args, "--data-folder", h.set.DataFolder)
	}
	for _, s := range h.set.Hosts {
		args = append(args, "--hosts", s.String())
	}
	h.cmd = exec.Command(binary, args...)
	h.cmd.Stderr = GinkgoWriter
	Expect(h.cmd.Start()).To(Succeed())
}

// kill ends the process with SIGKILL.
func (p *processes) kill(i int) {
	h := p.hosts[i]
	_ = h.cmd.Process.Kill() // The process may have exited already.
	_ = h.cmd.Wait()
}

// freeze suspends the process for d with SIGSTOP.
func (p *processes) freeze(ctx context.Context, i int, d time.Duration) error {
	proc := p.hosts[i].cmd.Process
	if err := proc.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := timekeeper.Sleep(ctx, timekeeper.System{}, d)
	return errors.CombineErrors(err, proc.Signal(syscall.SIGCONT))
}

// withGiftsShare returns the configuration with a changed share of a workspace
// that the south office owns.
func withGiftsShare(c declarer.Config) declarer.Config {
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == "gifts" {
			c.Workspaces[i].Share = 2
		}
	}
	return c
}

// bookingMix returns a load mix with enough bookings for kills to interrupt some.
func bookingMix() loader.Mix {
	m := loader.Festival()
	for i := range m.Classes {
		if m.Classes[i].Method == http.MethodPost {
			m.Classes[i].Weight = 0.5
		}
	}
	return m
}
