package router

import (
	"context"
	"slices"

	"foxtailwall/declarer"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
)

// session holds what this host knows about the session of one request.
type session struct {
	id string
	// named means that the caller sent a session ID. The pins of such a session
	// are stored in the control group, except those in tokens that the caller
	// sent.
	named         bool
	pinsByModel   map[string]pinner.Pin // From the tokens.
	tokensByModel map[string]string     // The tokens as received.
}

// readSession verifies the session tokens of the caller and returns its
// session. Without a token or session ID, the ID of the request becomes that
// of the session.
func (r *Router) readSession(req *ChatRequest) (*session, error) {
	s := &session{
		id: req.Session, named: req.Session != "",
		pinsByModel: make(map[string]pinner.Pin, len(req.Tokens)), tokensByModel: make(map[string]string, len(req.Tokens)),
	}
	for _, t := range req.Tokens {
		if r.opts.Signer == nil {
			return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun,
				"this host has no session keys to verify the token with; send the request without a token")
		}
		p, err := r.opts.Signer.Verify(t)
		if err != nil {
			return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun,
				"the session token is not valid; send the request without it to start a new session")
		}
		if p.Workspace != req.Holder.Workspace.Name {
			return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun, "the session token belongs to another workspace")
		}
		if s.id == "" {
			s.id = p.Session
		}
		if s.id != p.Session {
			return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun, "the session tokens belong to different sessions")
		}
		s.pinsByModel[p.Model], s.tokensByModel[p.Model] = p, t
	}
	if s.id == "" {
		s.id = req.ID
	}
	return s, nil
}

// candidateVersions returns one version of each model that the request may
// use.
func (r *Router) candidateVersions(c *declarer.Catalog, req *ChatRequest, s *session) ([]declarer.VersionRef, error) {
	w := c.Workspace(req.Holder.Workspace.Name)
	if w == nil {
		return nil, refuser.New(refuser.Unauthorized, refuser.NotRun, "the workspace of the API key was removed")
	}
	if req.Model != "" && req.Model != AutoModel {
		ref, err := r.namedCandidate(c, w, req, s)
		if err != nil {
			return nil, err
		}
		return []declarer.VersionRef{ref}, nil
	}
	leased := r.opts.Views.Leased()
	var out []declarer.VersionRef
	for _, a := range w.Models {
		m := c.Model(a.Model)
		if m == nil {
			continue
		}
		if p, ok := r.knownPin(s, w.Name, m.Name); ok {
			out = append(out, p.Ref())
			continue
		}
		if ref, ok := r.assignVersion(c, leased, w.Name, s.id, m); ok {
			out = append(out, ref)
		}
	}
	if len(out) == 0 {
		return nil, refuser.New(refuser.ModelNotAllowed, refuser.NotRun,
			"workspace %q has no usable model; allow one in the configuration", w.Name)
	}
	return out, nil
}

// namedCandidate returns the version for a request that names its model.
func (r *Router) namedCandidate(c *declarer.Catalog, w *declarer.Workspace, req *ChatRequest, s *session) (declarer.VersionRef, error) {
	m := c.Model(req.Model)
	if m == nil {
		return declarer.VersionRef{}, refuser.New(refuser.UnknownModel, refuser.NotRun, "there is no model %q", req.Model)
	}
	if !slices.ContainsFunc(w.Models, func(a declarer.Allowed) bool { return a.Model == m.Name }) {
		return declarer.VersionRef{}, refuser.New(refuser.ModelNotAllowed, refuser.NotRun,
			"workspace %q may not use model %q", w.Name, m.Name)
	}
	if p, ok := r.knownPin(s, w.Name, m.Name); ok {
		return p.Ref(), nil
	}
	ref, ok := r.assignVersion(c, r.opts.Views.Leased(), w.Name, s.id, m)
	if !ok {
		return ref, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"no version of model %q is available for workspace %q", m.Name, w.Name)
	}
	return ref, nil
}

// knownPin returns the session's pin for the model from its tokens or the
// cache of this host.
func (r *Router) knownPin(s *session, workspace, model string) (pinner.Pin, bool) {
	if p, ok := s.pinsByModel[model]; ok {
		return p, true
	}
	if !s.named {
		return pinner.Pin{}, false
	}
	return r.pins.Get(workspace, s.id, model)
}

// pinnedStep holds the version on which a step runs after its session was
// pinned.
type pinnedStep struct {
	ref declarer.VersionRef
	SessionInfo
}

// pinStep pins the session to the planned version unless it has a pin, and
// returns the version to run: the planned one, that of an earlier pin, or a
// replacement if the pinned version is not available.
func (r *Router) pinStep(ctx context.Context, c *declarer.Catalog, req *ChatRequest, s *session, ref declarer.VersionRef) (pinnedStep, error) {
	w := req.Holder.Workspace.Name
	p, ok := r.knownPin(s, w, ref.Model)
	provisional := false
	if !ok {
		p = pinner.Pin{Workspace: w, Session: s.id, Model: ref.Model, Version: ref.Version}
		if s.named {
			p, provisional = r.storePin(ctx, c, p)
		}
	}
	return r.resolvePin(ctx, c, req, s, p, provisional)
}

// storePin stores the first pin of a session and model in the control group.
// If that fails, the session provisionally runs on the fallback version, and
// true is returned.
func (r *Router) storePin(ctx context.Context, c *declarer.Catalog, p pinner.Pin) (pinner.Pin, bool) {
	if r.opts.Pins != nil {
		bounded, release := withTimeout(ctx, r.opts.Clock, controlTimeout)
		defer release()
		stored, err := r.opts.Pins.Pin(bounded, p)
		if err == nil {
			r.pins.Put(stored)
			return stored, false
		}
	}
	r.opts.Scope.Counter("router.pinsProvisional").Inc(1)
	if m := c.Model(p.Model); m != nil {
		if ref, ok := fallbackVersion(c, r.opts.Views.Leased(), p.Workspace, m); ok {
			p.Version = ref.Version
		}
	}
	return p, true
}

// resolvePin returns the version to run for a pin, which is another one if the
// pinned version is not available.
func (r *Router) resolvePin(ctx context.Context, c *declarer.Catalog, req *ChatRequest, s *session, p pinner.Pin, provisional bool) (pinnedStep, error) {
	leased := r.opts.Views.Leased()
	availability := c.Availability(p.Workspace, p.Ref(), leased)
	m := c.Model(p.Model)
	switch {
	case availability == declarer.Usable:
		return r.newPinnedStep(p, provisional, ""), nil
	case m == nil:
		return pinnedStep{}, refuser.New(refuser.UnknownModel, refuser.NotRun, "model %q, which the session uses, was removed", p.Model)
	case availability == declarer.Withdrawn || availability == declarer.NotAllowed:
		return r.repinSession(ctx, c, req, s, p, availability)
	}
	// The version may become available again, so keep the pin and run only this
	// request on another version.
	ref, ok := fallbackVersion(c, leased, p.Workspace, m)
	if !ok {
		return pinnedStep{}, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"%s is not available (%s) and model %q has no other available version", p.Ref(), availability, p.Model)
	}
	out := r.newPinnedStep(p, provisional, string(availability))
	out.ref, out.Ref = ref, ref
	return out, nil
}

// repinSession moves the session to another version because the pinned one was
// permanently removed from use. The caller or the workspace must have accepted
// such moves, otherwise the refusal names the next version.
func (r *Router) repinSession(ctx context.Context, c *declarer.Catalog, req *ChatRequest, s *session, old pinner.Pin, availability declarer.Availability) (pinnedStep, error) {
	w := c.Workspace(old.Workspace)
	ref, ok := r.assignVersion(c, r.opts.Views.Leased(), old.Workspace, s.id, c.Model(old.Model))
	if w == nil || !ok {
		return pinnedStep{}, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"the session's version %s is no longer available and model %q has no other available version", old.Ref(), old.Model)
	}
	if !req.Repin && !w.AcceptRepin {
		return pinnedStep{}, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"the session's version %s is no longer available; send Foxtailwall-Repin: accept to move the session to %s",
			old.Ref(), ref)
	}
	next := old
	next.Version = ref.Version
	provisional := false
	if s.named {
		next, provisional = r.replacePin(ctx, old, next)
	}
	if c.Availability(next.Workspace, next.Ref(), r.opts.Views.Leased()) != declarer.Usable {
		return pinnedStep{}, refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"the session was moved to %s by another request, and that version is not available; send the request again", next.Ref())
	}
	return r.newPinnedStep(next, provisional, string(availability)), nil
}

// replacePin replaces a pin in the control group and returns the pin in force.
// It returns true if that failed and the new pin is provisional.
func (r *Router) replacePin(ctx context.Context, old, next pinner.Pin) (pinner.Pin, bool) {
	if r.opts.Pins == nil {
		return next, true
	}
	bounded, release := withTimeout(ctx, r.opts.Clock, controlTimeout)
	defer release()
	stored, err := r.opts.Pins.Repin(bounded, old, next)
	if err != nil {
		r.opts.Scope.Counter("router.pinsProvisional").Inc(1)
		return next, true
	}
	r.pins.Put(stored)
	return stored, false
}

// newPinnedStep returns a step that runs on the pinned version, with a signed
// token. A provisional pin gets no token, since a token would fix the version
// for the rest of the session.
func (r *Router) newPinnedStep(p pinner.Pin, provisional bool, moveReason string) pinnedStep {
	out := pinnedStep{ref: p.Ref(), SessionInfo: SessionInfo{Ref: p.Ref(), Provisional: provisional, MoveReason: moveReason}}
	if r.opts.Signer == nil || provisional {
		return out
	}
	if t, err := r.opts.Signer.Sign(p); err == nil {
		out.Tokens = []string{t}
	} else {
		r.opts.Scope.Counter("router.signFailures").Inc(1)
	}
	return out
}
