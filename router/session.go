package router

import (
	"context"
	"slices"

	"foxtailwall/declarer"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
)

// session is what is known of the session of one request.
type session struct {
	id string
	// own says that the caller named the session, so that its pins belong to
	// the control group unless it returned a token.
	own  bool
	pins map[string]pinner.Pin // By model, from tokens.
	raw  map[string]string     // The tokens themselves, by model.
}

// sessionOf reads the caller's tokens and session ID.
func (r *Router) sessionOf(q *ChatRequest) (*session, error) {
	s := &session{
		id: q.Session, own: q.Session != "",
		pins: make(map[string]pinner.Pin, len(q.Tokens)), raw: make(map[string]string, len(q.Tokens)),
	}
	for _, t := range q.Tokens {
		if r.o.Signer == nil {
			return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun,
				"this host has no keys for session tokens; send the request without a token")
		}
		p, err := r.o.Signer.Verify(t)
		if err != nil {
			return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun,
				"the session token is not valid here; send the request without it to start a session")
		}
		if p.Workspace != q.Holder.Workspace.Name {
			return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun, "the session token belongs to another workspace")
		}
		if s.id == "" {
			s.id = p.Session
		}
		if s.id != p.Session {
			return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun, "the session tokens belong to several sessions")
		}
		s.pins[p.Model], s.raw[p.Model] = p, t
	}
	if s.id == "" {
		s.id = q.ID
	}
	return s, nil
}

// candidates returns one version of each model the request may use.
func (r *Router) candidates(c *declarer.Catalog, q *ChatRequest, s *session) ([]declarer.VersionRef, error) {
	w := c.Workspace(q.Holder.Workspace.Name)
	if w == nil {
		return nil, refuser.New(refuser.Unauthorized, refuser.NotRun, "the workspace of the key was removed")
	}
	if q.Model != "" && q.Model != AutoModel {
		ref, err := r.named(c, w, q, s)
		if err != nil {
			return nil, err
		}
		return []declarer.VersionRef{ref}, nil
	}
	leased := r.o.Views.Leased()
	var out []declarer.VersionRef
	for _, a := range w.Models {
		m := c.Model(a.Model)
		if m == nil {
			continue
		}
		if p, ok := r.known(s, w.Name, m.Name); ok {
			out = append(out, p.Ref())
			continue
		}
		if ref, ok := r.assigned(c, leased, w.Name, s.id, m); ok {
			out = append(out, ref)
		}
	}
	if len(out) == 0 {
		return nil, refuser.New(refuser.ModelNotAllowed, refuser.NotRun,
			"workspace %q has no model in use; allow one in the configuration", w.Name)
	}
	return out, nil
}

func (r *Router) named(c *declarer.Catalog, w *declarer.Workspace, q *ChatRequest, s *session) (declarer.VersionRef, error) {
	m := c.Model(q.Model)
	if m == nil {
		return declarer.VersionRef{}, refuser.New(refuser.UnknownModel, refuser.NotRun, "there is no model %q", q.Model)
	}
	if !slices.ContainsFunc(w.Models, func(a declarer.Allowed) bool { return a.Model == m.Name }) {
		return declarer.VersionRef{}, refuser.New(refuser.ModelNotAllowed, refuser.NotRun,
			"workspace %q may not use model %q", w.Name, m.Name)
	}
	if p, ok := r.known(s, w.Name, m.Name); ok {
		return p.Ref(), nil
	}
	ref, ok := r.assigned(c, r.o.Views.Leased(), w.Name, s.id, m)
	if !ok {
		return ref, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"no version of model %q is in use for workspace %q", m.Name, w.Name)
	}
	return ref, nil
}

// known returns the session's pin for the model as far as this host knows it.
func (r *Router) known(s *session, workspace, model string) (pinner.Pin, bool) {
	if p, ok := s.pins[model]; ok {
		return p, true
	}
	if !s.own {
		return pinner.Pin{}, false
	}
	return r.pins.Get(workspace, s.id, model)
}

// pinned is a step of a plan after its session was pinned.
type pinned struct {
	ref declarer.VersionRef
	Notice
}

// pin ties the session to the planned version and returns the version to run:
// the planned one, that of an earlier pin, or another if the pinned one is out
// of use.
func (r *Router) pin(ctx context.Context, c *declarer.Catalog, q *ChatRequest, s *session, ref declarer.VersionRef) (pinned, error) {
	w := q.Holder.Workspace.Name
	p, ok := r.known(s, w, ref.Model)
	provisional := false
	if !ok {
		p = pinner.Pin{Workspace: w, Session: s.id, Model: ref.Model, Version: ref.Version}
		if s.own {
			p, provisional = r.store(ctx, c, p)
		}
	}
	return r.settle(ctx, c, q, s, p, provisional)
}

// store writes a first pin to the control group. Out of its reach, the
// session provisionally gets the stable version.
func (r *Router) store(ctx context.Context, c *declarer.Catalog, p pinner.Pin) (pinner.Pin, bool) {
	if r.o.Pins != nil {
		bounded, release := within(ctx, r.o.Clock, controlWait)
		defer release()
		held, err := r.o.Pins.Pin(bounded, p)
		if err == nil {
			r.pins.Put(held)
			return held, false
		}
	}
	r.o.Scope.Counter("router.pinsProvisional").Inc(1)
	if m := c.Model(p.Model); m != nil {
		if ref, ok := fallback(c, r.o.Views.Leased(), p.Workspace, m); ok {
			p.Version = ref.Version
		}
	}
	return p, true
}

// settle turns a pin into the version to run.
func (r *Router) settle(ctx context.Context, c *declarer.Catalog, q *ChatRequest, s *session, p pinner.Pin, provisional bool) (pinned, error) {
	leased := r.o.Views.Leased()
	st := c.Standing(p.Workspace, p.Ref(), leased)
	m := c.Model(p.Model)
	switch {
	case st == declarer.Usable:
		return r.signed(p, provisional, ""), nil
	case m == nil:
		return pinned{}, refuser.New(refuser.UnknownModel, refuser.NotRun, "the session's model %q was removed", p.Model)
	case st == declarer.Withdrawn || st == declarer.NotAllowed:
		return r.repin(ctx, c, q, s, p, st)
	}
	// The version may come back, so the pin stays and only this request moves.
	ref, ok := fallback(c, leased, p.Workspace, m)
	if !ok {
		return pinned{}, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"%s is out of use (%s) and model %q has no other version in use", p.Ref(), st, p.Model)
	}
	out := r.signed(p, provisional, string(st))
	out.ref, out.Ref = ref, ref
	return out, nil
}

// repin moves the session off a version that will not come back, if the
// caller or the workspace accepts it.
func (r *Router) repin(ctx context.Context, c *declarer.Catalog, q *ChatRequest, s *session, old pinner.Pin, st declarer.Standing) (pinned, error) {
	w := c.Workspace(old.Workspace)
	ref, ok := r.assigned(c, r.o.Views.Leased(), old.Workspace, s.id, c.Model(old.Model))
	if w == nil || !ok {
		return pinned{}, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"the session's version %s is out of use and model %q has no other in use", old.Ref(), old.Model)
	}
	if !q.Repin && !w.AcceptRepin {
		return pinned{}, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"the session's version %s is out of use; its next version would be %s: send Foxtailwall-Repin: accept to move to it",
			old.Ref(), ref)
	}
	next := old
	next.Version = ref.Version
	provisional := false
	if s.own {
		next, provisional = r.restore(ctx, old, next)
	}
	if c.Standing(next.Workspace, next.Ref(), r.o.Views.Leased()) != declarer.Usable {
		return pinned{}, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"the session was moved to %s meanwhile, which is out of use; send the request again", next.Ref())
	}
	return r.signed(next, provisional, string(st)), nil
}

// restore replaces a pin in the control group.
func (r *Router) restore(ctx context.Context, old, next pinner.Pin) (pinner.Pin, bool) {
	if r.o.Pins == nil {
		return next, true
	}
	bounded, release := within(ctx, r.o.Clock, controlWait)
	defer release()
	held, err := r.o.Pins.Repin(bounded, old, next)
	if err != nil {
		r.o.Scope.Counter("router.pinsProvisional").Inc(1)
		return next, true
	}
	r.pins.Put(held)
	return held, false
}

// signed returns the pin as the version to run, with its token. A provisional
// pin gets none, since the caller would keep the version for good.
func (r *Router) signed(p pinner.Pin, provisional bool, moved string) pinned {
	out := pinned{ref: p.Ref(), Notice: Notice{Ref: p.Ref(), Provisional: provisional, Moved: moved}}
	if r.o.Signer == nil || provisional {
		return out
	}
	if t, err := r.o.Signer.Sign(p); err == nil {
		out.Tokens = []string{t}
	} else {
		r.o.Scope.Counter("router.signFailures").Inc(1)
	}
	return out
}
