package controller

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"foxtailwall/declarer"
	"foxtailwall/serializer"
)

// Kinds of declarations and operations on them.
const (
	kindWorkspace  = "workspace"
	kindModel      = "model"
	kindService    = "service"
	kindUpstream   = "upstream"
	kindRollout    = "rollout"
	kindWithdrawal = "withdrawal"
	kindRetention  = "retention"

	added   = "added"
	changed = "changed"
	removed = "removed"
)

type (
	// declarationKey identifies a declaration. A rollout is named after its
	// model, which has at most one.
	declarationKey struct{ kind, name string }

	// declaration holds the owning office of a declaration and its canonical
	// encoding.
	declaration struct {
		owner string
		body  []byte
	}

	declarationChange struct {
		declarationKey
		op string
		// owner is the office that owned the declaration before the change,
		// or that owns an added one.
		owner string
	}
)

// String returns a line such as "changed model engraver of vancouver".
func (c declarationChange) String() string {
	s := c.op + " " + c.kind
	if c.name != "" {
		s += " " + c.name
	}
	if c.owner != "" {
		s += " of " + c.owner
	}
	return s
}

// indexDeclarations returns the declarations of a configuration by key. A
// duplicate is a fault because only one of the two would pass through the
// ownership check.
func indexDeclarations(c declarer.Config) (map[declarationKey]declaration, []string) {
	out := make(map[declarationKey]declaration, len(c.Workspaces)+len(c.Models)+len(c.Upstreams)+1)
	var faults []string
	add := func(kind, name, owner string, v any) {
		body, err := serializer.Marshal(v)
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s %q: %v", kind, name, err))
		}
		r := declarationKey{kind, name}
		if _, ok := out[r]; ok {
			faults = append(faults, fmt.Sprintf("%s %q is declared twice", kind, name))
		}
		out[r] = declaration{owner: owner, body: body}
	}
	for _, w := range c.Workspaces {
		add(kindWorkspace, w.Name, w.Owner, w)
	}
	for _, v := range c.Models {
		add(kindModel, v.Name, v.Owner, v)
	}
	for _, v := range c.Services {
		add(kindService, v.Name, v.Owner, v)
	}
	for _, u := range c.Upstreams {
		add(kindUpstream, u.Name, u.Owner, u)
	}
	for _, r := range c.Rollouts {
		add(kindRollout, r.Model, r.Owner, r)
	}
	for _, w := range c.Withdrawals {
		add(kindWithdrawal, w.Model+"/"+w.Version, w.Owner, w)
	}
	add(kindRetention, "", "", c.Retention)
	return out, faults
}

// compareDeclarations returns the changes from old to next, sorted by kind and
// name.
func compareDeclarations(old, next map[declarationKey]declaration) []declarationChange {
	var out []declarationChange
	for r, d := range next {
		before, ok := old[r]
		switch {
		case !ok && r.kind != kindRetention:
			out = append(out, declarationChange{declarationKey: r, op: added, owner: d.owner})
		case ok && !bytes.Equal(before.body, d.body):
			out = append(out, declarationChange{declarationKey: r, op: changed, owner: before.owner})
		}
	}
	for r, d := range old {
		if _, ok := next[r]; !ok {
			out = append(out, declarationChange{declarationKey: r, op: removed, owner: d.owner})
		}
	}
	slices.SortFunc(out, func(a, b declarationChange) int {
		if c := strings.Compare(a.kind, b.kind); c != 0 {
			return c
		}
		return strings.Compare(a.name, b.name)
	})
	return out
}

// ownershipFaults returns a fault for each change that the office may not make.
// The retention has no owner. Only the first configuration may add declarations
// of other offices: later, an office could use them to roll out another
// office's models, for example.
func ownershipFaults(office string, changes []declarationChange, first bool) []string {
	var out []string
	for _, c := range changes {
		if c.kind == kindRetention || c.owner == office || first {
			continue
		}
		if c.op == added {
			out = append(out, fmt.Sprintf("%s %q: office %q cannot add a declaration that %q owns; set owner: %s",
				c.kind, c.name, office, c.owner, office))
			continue
		}
		out = append(out, fmt.Sprintf("%s %q is owned by office %q; office %q cannot have it %s",
			c.kind, c.name, c.owner, office, c.op))
	}
	return out
}
