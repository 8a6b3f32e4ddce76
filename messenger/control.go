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
	"foxtailwall/relayer"
	"foxtailwall/timekeeper"
)

const (
	procSubmit   = "control/submit"
	procApply    = "control/apply"
	procShow     = "control/show"
	procStatus   = "control/status"
	procExport   = "control/export"
	procEvacuate = "control/evacuate"

	// maxItems is the largest number of items in one call, and so in one log
	// entry.
	maxItems = 1024
	// exportPageRecords is the number of records in one message of an export.
	exportPageRecords = 1000
	// maxShownChanges is the largest number of changes in one ShowResult.
	maxShownChanges = 1000
)

type (
	// Group is the replicated log as the control procedures use it.
	Group interface {
		// ProposeFormat appends cmd and returns the result of the state machine.
		// After an error the command may have taken effect or may still do so,
		// unless the error says that this host is not the leader or is a refusal.
		// It refuses cmd if a member does not apply log entries of the version
		// format.
		ProposeFormat(ctx context.Context, cmd []byte, format uint32) (result []byte, index uint64, err error)
		// Barrier returns once this host has applied everything that was
		// committed when it was called.
		Barrier(ctx context.Context) (index uint64, err error)
	}

	// ControlServiceOptions are the dependencies of a ControlService.
	ControlServiceOptions struct {
		Group   Group
		Machine *controller.Machine
		Clock   timekeeper.Clock
		Scope   counter.Scope
		Forward Forwarding
		// Hosts lists the hosts with the versions that they have confirmed,
		// for Status. Nil lists none.
		Hosts func() []HostStatus
		// VersionStatus returns how far a version has taken effect, on hosts that
		// use it only under a lease (leased) or on others. It returns false if
		// this host is not the leader. If nil, Status omits Standing and
		// Withdrawn.
		VersionStatus func(version uint64, leased bool) (VersionStatus, bool)
	}

	// ControlService handles the control procedures on one control host. Make
	// it with HandleControl.
	ControlService struct{ opts ControlServiceOptions }

	// HostStatus is the state of one host as the control group knows it.
	HostStatus struct {
		Name string `cbor:"name" json:"name"`
		Zone string `cbor:"zone" json:"zone"`
		// Version is the newest version that the host has confirmed.
		Version uint64 `cbor:"version" json:"version"`
		// Live means that the host's lease, as the leader knows it, is valid.
		Live bool      `cbor:"live" json:"live"`
		Seen time.Time `cbor:"seen" json:"seen"`
		// Queue is the state of the host's queue as of Seen, nil if unknown.
		Queue *relayer.QueueStatus `cbor:"queue,omitempty" json:"queue,omitempty"`
	}

	// VersionStatus is how far a version has taken effect on the hosts.
	VersionStatus struct {
		Version uint64 `cbor:"version" json:"version"`
		// InForce means that no host that the leader waits for can still act
		// on an older version.
		InForce bool `cbor:"inForce" json:"inForce"`
		// Pending names the hosts that the leader waits for.
		Pending []string `cbor:"pending,omitempty" json:"pending,omitempty"`
		// CutOff names the zones in which no host responds and an older
		// version may still be in use.
		CutOff []string `cbor:"cutOff,omitempty" json:"cutOff,omitempty"`
	}

	// WithdrawalStatus is how far the withdrawal of a version has taken
	// effect.
	WithdrawalStatus struct {
		Ref declarer.VersionRef `cbor:"ref" json:"ref"`
		VersionStatus
	}

	// ShowResult is the configuration with its latest changes.
	ShowResult struct {
		// Version is the base version of the next change.
		Version uint64          `cbor:"version"`
		Config  declarer.Config `cbor:"config"`
		// History lists the latest changes, oldest first.
		History []controller.Change `cbor:"history,omitempty"`
	}

	// Status is the state of the deployment as the leader knows it.
	Status struct {
		// Version is the version of the view, Declared that of the
		// configuration.
		Version     uint64                `cbor:"version" json:"version"`
		Declared    uint64                `cbor:"declared" json:"declared"`
		Progress    []declarer.Progress   `cbor:"progress,omitempty" json:"progress,omitempty"`
		Quarantined []declarer.VersionRef `cbor:"quarantined,omitempty" json:"quarantined,omitempty"`
		Evacuated   []declarer.Evacuation `cbor:"evacuated,omitempty" json:"evacuated,omitempty"`
		Withdrawals []declarer.Withdrawal `cbor:"withdrawals,omitempty" json:"withdrawals,omitempty"`
		// Standing is the status of Version, Withdrawn that of each withdrawal.
		// Both are omitted if the answering host is not the leader.
		Standing  *VersionStatus     `cbor:"standing,omitempty" json:"standing,omitempty"`
		Withdrawn []WithdrawalStatus `cbor:"withdrawn,omitempty" json:"withdrawn,omitempty"`
		Hosts     []HostStatus       `cbor:"hosts,omitempty" json:"hosts,omitempty"`
		Claims    int                `cbor:"claims" json:"claims"`
		Pins      int                `cbor:"pins" json:"pins"`
		Records   int                `cbor:"records" json:"records"`
		// RefusedBills is the number of billing records that the ledger
		// rejected.
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

	evacuateRequest struct {
		Order controller.EvacuationOrder `cbor:"order"`
	}

	showRequest struct {
		History int `cbor:"history,omitempty"`
		// Local requests the state of the receiving host, without a quorum.
		Local bool `cbor:"local,omitempty"`
	}

	statusRequest struct {
		Local bool `cbor:"local,omitempty"`
	}

	exportRequest struct{}

	// exportPart is one message of an export. The first carries the totals.
	exportPart struct {
		NotLeader bool            `cbor:"notLeader,omitempty"`
		Totals    []biller.Total  `cbor:"totals,omitempty"`
		Refused   int64           `cbor:"refused,omitempty"`
		Records   []biller.Record `cbor:"records,omitempty"`
		// Last marks the final message, so that a truncated export is
		// detected.
		Last bool `cbor:"last,omitempty"`
	}
)

// HandleControl registers the control procedures on m. The Run method of the
// returned service proposes prunes while this host is the leader.
func HandleControl(m *Mux, opts ControlServiceOptions) *ControlService {
	s := &ControlService{opts: opts}
	handleLeader(m, procSubmit, opts.Forward, s.submit)
	handleLeader(m, procApply, opts.Forward, s.apply)
	handleLeader(m, procEvacuate, opts.Forward, s.evacuate)
	handleLeader(m, procShow, opts.Forward, s.show)
	handleLeader(m, procStatus, opts.Forward, s.status)
	HandleStream(m, procExport, s.export)
	return s
}

// Run proposes a Prune every controller.PruneInterval until ctx ends. On a
// host that is not the leader the proposal fails without effect.
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
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "a call must carry 1 to %d items, not %d", maxItems, n)
	}
	for _, it := range r.Items {
		if it.Apply != nil || it.Prune != nil || it.Evacuation != nil ||
			it.Order != nil && controller.IsReserved(it.Order.Service) || it.Step != nil && controller.IsReserved(it.Step.Service) {
			return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "apply, prune and evacuation items are not accepted; use %s to change the configuration and %s to evacuate a zone", procApply, procEvacuate)
		}
	}
	answers, index, err := s.propose(ctx, r.Items)
	if err != nil {
		return nil, err
	}
	return &submitResponse{Answers: answers, Index: index}, nil
}

func (s *ControlService) apply(ctx context.Context, r *applyRequest) (*controller.ApplyResult, error) {
	answers, _, err := s.propose(ctx, []controller.Item{{Apply: &r.Change}})
	if err != nil {
		return nil, err
	}
	return answers[0].Apply, nil
}

func (s *ControlService) evacuate(ctx context.Context, r *evacuateRequest) (*controller.EvacuationResult, error) {
	zone := r.Order.Zone
	inZone := func(u declarer.Upstream) bool { return u.Zone == zone }
	if upstreams := s.opts.Machine.View().Config.Upstreams; !r.Order.End && !slices.ContainsFunc(upstreams, inZone) {
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "no upstream is declared in a zone %q", zone)
	}
	// The order is stored in entries that all members apply, but a leader of an earlier
	// release would not tell hosts of it.
	answers, _, err := s.proposeFormat(ctx, r.Order.Items(), controller.EvacuationFormat)
	if err != nil {
		return nil, err
	}
	return answers[len(answers)-1].Evacuated, nil
}

// propose stamps the items with the time of this host and appends them to the
// log, which accepts them from the leader only.
func (s *ControlService) propose(ctx context.Context, items []controller.Item) ([]controller.Answer, uint64, error) {
	return s.proposeFormat(ctx, items, controller.RequiredFormat(items...))
}

// proposeFormat is propose for items that are refused until all members apply log entries
// of the version.
func (s *ControlService) proposeFormat(ctx context.Context, items []controller.Item, format uint32) ([]controller.Answer, uint64, error) {
	cmd, err := controller.Encode(controller.Command{At: s.opts.Clock.Now(), Items: items})
	if err != nil {
		return nil, 0, refuser.New(refuser.BadRequest, refuser.NotRun, "encode command: %v", err)
	}
	b, index, err := s.opts.Group.ProposeFormat(ctx, cmd, format)
	if err != nil {
		return nil, 0, err
	}
	res, err := controller.Decode(b)
	if err != nil {
		return nil, 0, err
	}
	if len(res.Answers) != len(items) {
		return nil, 0, errors.Newf("the log returned %d answers to %d items", len(res.Answers), len(items))
	}
	return res.Answers, index, nil
}

func (s *ControlService) show(ctx context.Context, r *showRequest) (*ShowResult, error) {
	if err := s.barrierUnlessLocal(ctx, r.Local); err != nil {
		return nil, err
	}
	d := s.opts.Machine.Declared()
	return &ShowResult{Version: d.Version, Config: d.Config, History: s.opts.Machine.History(min(r.History, maxShownChanges))}, nil
}

func (s *ControlService) status(ctx context.Context, r *statusRequest) (*Status, error) {
	if err := s.barrierUnlessLocal(ctx, r.Local); err != nil {
		return nil, err
	}
	v, d := s.opts.Machine.View(), s.opts.Machine.Declared()
	out := &Status{
		Version: v.Version, Declared: d.Version, Progress: v.Progress,
		Quarantined: v.Quarantined, Evacuated: v.Evacuated, Withdrawals: d.Config.Withdrawals,
	}
	out.Claims, out.Pins, out.Records, out.RefusedBills = s.opts.Machine.Sizes()
	if s.opts.Hosts != nil {
		out.Hosts = s.opts.Hosts()
	}
	s.addVersionStatus(out, v)
	return out, nil
}

// addVersionStatus adds how far the view and the withdrawals have taken
// effect, if this host is the leader.
func (s *ControlService) addVersionStatus(out *Status, v declarer.View) {
	if s.opts.VersionStatus == nil {
		return
	}
	cur, ok := s.combinedStatus(v.Version)
	if !ok {
		return
	}
	out.Standing = &cur
	for _, w := range out.Withdrawals {
		ref := declarer.VersionRef{Model: w.Model, Version: w.Version}
		withdrawnAt := s.opts.Machine.WithdrawnAt(ref)
		st, ok := s.combinedStatus(withdrawnAt)
		if requiresLease(v.Config, w.Model) {
			st, ok = s.opts.VersionStatus(withdrawnAt, true)
		}
		if !ok {
			// This host lost the leadership in the meantime.
			out.Standing, out.Withdrawn = nil, nil
			return
		}
		out.Withdrawn = append(out.Withdrawn, WithdrawalStatus{Ref: ref, VersionStatus: st})
	}
}

// combinedStatus combines the status of a version on hosts that use it with
// and without a lease, since it is not stored whether a withdrawn version was
// in a rollout.
func (s *ControlService) combinedStatus(version uint64) (VersionStatus, bool) {
	out, ok := s.opts.VersionStatus(version, false)
	leased, leasedOK := s.opts.VersionStatus(version, true)
	out.InForce = out.InForce && leased.InForce
	out.Pending = append(slices.Clone(out.Pending), leased.Pending...)
	slices.Sort(out.Pending)
	out.Pending = slices.Compact(out.Pending)
	return out, ok && leasedOK
}

// requiresLease reports whether hosts use the model only under a lease.
func requiresLease(c declarer.Config, model string) bool {
	return slices.ContainsFunc(c.Models, func(m declarer.Model) bool {
		return m.Name == model && m.CutOff == declarer.CutOffRefuse
	})
}

func (s *ControlService) export(ctx context.Context, _ *exportRequest, send func(*exportPart) error) error {
	if err := s.barrierUnlessLocal(ctx, false); err != nil {
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
		n := min(exportPageRecords, len(recs))
		if err := send(&exportPart{Records: recs[:n]}); err != nil {
			return err
		}
		recs = recs[n:]
	}
	return send(&exportPart{Last: true})
}

func (s *ControlService) barrierUnlessLocal(ctx context.Context, local bool) error {
	if local {
		return nil
	}
	_, err := s.opts.Group.Barrier(ctx)
	return err
}
