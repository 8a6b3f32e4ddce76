package messenger

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/biller"
	"foxtailwall/controller"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

const (
	procSubmit = "control/submit"
	procApply  = "control/apply"
	procShow   = "control/show"
	procStatus = "control/status"
	procExport = "control/export"

	// maxItems bounds the items of one call, and so of one log entry.
	maxItems = 1024
	// exportPage is the number of records in one message of an export.
	exportPage = 1000
	// maxShown bounds the changes that one show returns.
	maxShown = 1000
)

type (
	// Group is the replicated log as the control procedures use it.
	Group interface {
		// Propose appends cmd and returns the result of the machine. Unless
		// the error says that this host does not lead, the command may or may
		// not take effect after an error.
		Propose(ctx context.Context, cmd []byte) (result []byte, index uint64, err error)
		// Barrier returns once this host has applied everything that was
		// committed when it was called.
		Barrier(ctx context.Context) (index uint64, err error)
	}

	// ControlOptions are the parts of a control host.
	ControlOptions struct {
		Group   Group
		Machine *controller.Machine
		Clock   timekeeper.Clock
		Scope   counter.Scope
		Forward Forwarding
		// Hosts lists the hosts with what they have confirmed, for status.
		// Nil lists none.
		Hosts func() []HostStatus
		// Standing returns how far a version has come into force, for hosts
		// that use it under a lease or for others. It reports false if this
		// host does not lead. Nil knows nothing.
		Standing func(version uint64, leased bool) (Standing, bool)
	}

	// ControlService answers the procedures of the control group on one
	// control host. Make it with HandleControl.
	ControlService struct{ opts ControlOptions }

	// HostStatus is what the control group knows of one host.
	HostStatus struct {
		Name string `cbor:"name" json:"name"`
		Zone string `cbor:"zone" json:"zone"`
		// Version is the newest version that the host has confirmed.
		Version uint64 `cbor:"version" json:"version"`
		// Live says that the host's lease, as the leader knows it, is valid.
		Live bool      `cbor:"live" json:"live"`
		Seen time.Time `cbor:"seen" json:"seen"`
	}

	// Standing says how far a version has come into force.
	Standing struct {
		Version uint64 `cbor:"version" json:"version"`
		// InForce is set once no host that the leader waits for may act on
		// an older version.
		InForce bool `cbor:"inForce" json:"inForce"`
		// Pending names the hosts that are waited for.
		Pending []string `cbor:"pending,omitempty" json:"pending,omitempty"`
		// CutOff names the zones whose hosts are all silent and may still
		// use an older version.
		CutOff []string `cbor:"cutOff,omitempty" json:"cutOff,omitempty"`
	}

	// WithdrawalStanding says how far a withdrawal has come into force.
	WithdrawalStanding struct {
		Ref declarer.VersionRef `cbor:"ref" json:"ref"`
		Standing
	}

	// Shown is the configuration with its history.
	Shown struct {
		// Version is the base for the next change.
		Version uint64          `cbor:"version"`
		Config  declarer.Config `cbor:"config"`
		// History lists the newest changes, oldest first.
		History []controller.Change `cbor:"history,omitempty"`
	}

	// Status is the state of the deployment as the leader knows it.
	Status struct {
		// Version is that of the view, Declared that of the configuration.
		Version     uint64                `cbor:"version" json:"version"`
		Declared    uint64                `cbor:"declared" json:"declared"`
		Progress    []declarer.Progress   `cbor:"progress,omitempty" json:"progress,omitempty"`
		Quarantined []declarer.VersionRef `cbor:"quarantined,omitempty" json:"quarantined,omitempty"`
		Withdrawals []declarer.Withdrawal `cbor:"withdrawals,omitempty" json:"withdrawals,omitempty"`
		// Standing is that of Version, and Withdrawn that of each withdrawal.
		// They are left out if the answering host does not lead.
		Standing  *Standing            `cbor:"standing,omitempty" json:"standing,omitempty"`
		Withdrawn []WithdrawalStanding `cbor:"withdrawn,omitempty" json:"withdrawn,omitempty"`
		Hosts     []HostStatus         `cbor:"hosts,omitempty" json:"hosts,omitempty"`
		Claims    int                  `cbor:"claims" json:"claims"`
		Pins      int                  `cbor:"pins" json:"pins"`
		Records   int                  `cbor:"records" json:"records"`
		// RefusedBills counts the billing records that were not counted.
		RefusedBills int64 `cbor:"refusedBills" json:"refusedBills"`
	}

	submitRequest struct {
		Items []controller.Item `cbor:"items"`
	}

	submitResponse struct {
		Answers []controller.Answer `cbor:"answers"`
		Index   uint64              `cbor:"index"`
	}

	applyRequest struct {
		Change controller.Apply `cbor:"change"`
	}

	showRequest struct {
		History int `cbor:"history,omitempty"`
		// Local asks for what this host has, without a quorum.
		Local bool `cbor:"local,omitempty"`
	}

	statusRequest struct {
		Local bool `cbor:"local,omitempty"`
	}

	exportRequest struct{}

	// exportPart is one message of an export. The first has the totals.
	exportPart struct {
		NotLeader bool            `cbor:"notLeader,omitempty"`
		Totals    []biller.Total  `cbor:"totals,omitempty"`
		Refused   int64           `cbor:"refused,omitempty"`
		Records   []biller.Record `cbor:"records,omitempty"`
		// Last marks the end, so that a cut export is not taken for whole.
		Last bool `cbor:"last,omitempty"`
	}
)

// HandleControl registers the procedures of a control host on m. Its Run
// proposes the pruning while this host leads.
func HandleControl(m *Mux, opts ControlOptions) *ControlService {
	s := &ControlService{opts: opts}
	handleLeader(m, procSubmit, opts.Forward, s.submit)
	handleLeader(m, procApply, opts.Forward, s.apply)
	handleLeader(m, procShow, opts.Forward, s.show)
	handleLeader(m, procStatus, opts.Forward, s.status)
	HandleStream(m, procExport, s.export)
	return s
}

// Run proposes a Prune every controller.PruneInterval until ctx ends. On a
// host that does not lead the proposal fails without effect.
func (s *ControlService) Run(ctx context.Context) error {
	for {
		if err := timekeeper.Sleep(ctx, s.opts.Clock, controller.PruneInterval); err != nil {
			return err
		}
		_, _, err := s.propose(ctx, []controller.Item{{Prune: &controller.Prune{}}})
		if _, notLeader := s.opts.Forward.leaderOf(err); err != nil && !notLeader {
			s.opts.Scope.Counter("control.pruneFailed").Inc(1)
		}
	}
}

func (s *ControlService) submit(ctx context.Context, r *submitRequest) (*submitResponse, error) {
	if n := len(r.Items); n == 0 || n > maxItems {
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "a call carries 1 to %d items, not %d", maxItems, n)
	}
	for _, it := range r.Items {
		if it.Apply != nil || it.Prune != nil {
			return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "configurations are sent by %s", procApply)
		}
	}
	answers, index, err := s.propose(ctx, r.Items)
	if err != nil {
		return nil, err
	}
	return &submitResponse{Answers: answers, Index: index}, nil
}

func (s *ControlService) apply(ctx context.Context, r *applyRequest) (*controller.Applied, error) {
	answers, _, err := s.propose(ctx, []controller.Item{{Apply: &r.Change}})
	if err != nil {
		return nil, err
	}
	return answers[0].Apply, nil
}

// propose stamps the items with the time of this host, which the log accepts
// only if it leads.
func (s *ControlService) propose(ctx context.Context, items []controller.Item) ([]controller.Answer, uint64, error) {
	cmd, err := controller.Encode(controller.Command{At: s.opts.Clock.Now(), Items: items})
	if err != nil {
		return nil, 0, refuser.New(refuser.BadRequest, refuser.NotRun, "encode command: %v", err)
	}
	b, index, err := s.opts.Group.Propose(ctx, cmd)
	if err != nil {
		return nil, 0, err
	}
	res, err := controller.Decode(b)
	if err != nil {
		return nil, 0, err
	}
	if len(res.Answers) != len(items) {
		return nil, 0, errors.Newf("the log answered %d of %d items", len(res.Answers), len(items))
	}
	return res.Answers, index, nil
}

func (s *ControlService) show(ctx context.Context, r *showRequest) (*Shown, error) {
	if err := s.barrier(ctx, r.Local); err != nil {
		return nil, err
	}
	d := s.opts.Machine.Declared()
	return &Shown{Version: d.Version, Config: d.Config, History: s.opts.Machine.History(min(r.History, maxShown))}, nil
}

func (s *ControlService) status(ctx context.Context, r *statusRequest) (*Status, error) {
	if err := s.barrier(ctx, r.Local); err != nil {
		return nil, err
	}
	v, d := s.opts.Machine.View(), s.opts.Machine.Declared()
	out := &Status{
		Version: v.Version, Declared: d.Version, Progress: v.Progress,
		Quarantined: v.Quarantined, Withdrawals: d.Config.Withdrawals,
	}
	out.Claims, out.Pins, out.Records, out.RefusedBills = s.opts.Machine.Sizes()
	if s.opts.Hosts != nil {
		out.Hosts = s.opts.Hosts()
	}
	s.addStandings(out, v)
	return out, nil
}

// addStandings adds how far the view and the withdrawals are in force.
func (s *ControlService) addStandings(out *Status, v declarer.View) {
	if s.opts.Standing == nil {
		return
	}
	cur, ok := s.standing(v.Version)
	if !ok {
		return
	}
	out.Standing = &cur
	for _, w := range out.Withdrawals {
		ref := declarer.VersionRef{Model: w.Model, Version: w.Version}
		at := s.opts.Machine.WithdrawnAt(ref)
		st, ok := s.standing(at)
		if refusesCutOff(v.Config, w.Model) {
			st, ok = s.opts.Standing(at, true)
		}
		if !ok {
			// This host has lost the lead meanwhile.
			out.Standing, out.Withdrawn = nil, nil
			return
		}
		out.Withdrawn = append(out.Withdrawn, WithdrawalStanding{Ref: ref, Standing: st})
	}
}

// standing returns the standing of a version for hosts that use it with and
// without a lease: whether a withdrawn version was in rollout is not kept.
func (s *ControlService) standing(version uint64) (Standing, bool) {
	out, ok := s.opts.Standing(version, false)
	leased, still := s.opts.Standing(version, true)
	out.InForce = out.InForce && leased.InForce
	out.Pending = append(slices.Clone(out.Pending), leased.Pending...)
	slices.Sort(out.Pending)
	out.Pending = slices.Compact(out.Pending)
	return out, ok && still
}

// refusesCutOff reports whether hosts use the model under a lease only.
func refusesCutOff(c declarer.Config, model string) bool {
	return slices.ContainsFunc(c.Models, func(m declarer.Model) bool {
		return m.Name == model && m.CutOff == declarer.CutOffRefuse
	})
}

func (s *ControlService) export(ctx context.Context, _ *exportRequest, send func(*exportPart) error) error {
	if err := s.barrier(ctx, false); err != nil {
		if _, notLeader := s.opts.Forward.leaderOf(err); notLeader {
			return send(&exportPart{NotLeader: true})
		}
		return err
	}
	totals, refused, recs := s.opts.Machine.Ledger()
	if err := send(&exportPart{Totals: totals, Refused: refused}); err != nil {
		return err
	}
	for len(recs) > 0 {
		n := min(exportPage, len(recs))
		if err := send(&exportPart{Records: recs[:n]}); err != nil {
			return err
		}
		recs = recs[n:]
	}
	return send(&exportPart{Last: true})
}

func (s *ControlService) barrier(ctx context.Context, local bool) error {
	if local {
		return nil
	}
	_, err := s.opts.Group.Barrier(ctx)
	return err
}
