package declarer

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
	"go.yaml.in/yaml/v3"
)

// Kinds of change of a declaration.
const (
	// Added means that only the newer configuration has the declaration.
	Added ChangeKind = "added"
	// Removed means that only the older configuration has the declaration.
	Removed ChangeKind = "removed"
	// Changed means that both have the declaration, with different contents.
	Changed ChangeKind = "changed"
)

// diffContextLines is the number of unchanged lines shown around a change.
const diffContextLines = 2

type (
	// ChangeKind says how a declaration differs.
	ChangeKind string

	// Change is one declaration that differs between two configurations.
	Change struct {
		Kind ChangeKind `cbor:"kind" json:"kind"`
		// Place is the path of the declaration, such as "workspaces[counter]".
		Place string `cbor:"place" json:"place"`
		// OldOwner and NewOwner are the offices that own the declaration
		// before and after the change; empty if there is none.
		OldOwner string `cbor:"oldOwner,omitempty" json:"oldOwner,omitempty"`
		NewOwner string `cbor:"newOwner,omitempty" json:"newOwner,omitempty"`
		// Old and New are the declaration as YAML text before and after.
		Old string `cbor:"old,omitempty" json:"old,omitempty"`
		New string `cbor:"new,omitempty" json:"new,omitempty"`
	}

	// declaration is one declaration of a configuration.
	declaration struct{ place, owner, text string }
)

// Diff returns the changes from a to b: changed and removed declarations in the
// canonical order of a, then added ones in that of b.
func Diff(a, b Config) []Change {
	old, recent := declarations(a.Sorted()), declarations(b.Sorted())
	byPlace := make(map[string]declaration, len(recent))
	for _, d := range recent {
		byPlace[d.place] = d
	}
	var out []Change
	seen := make(map[string]bool, len(old))
	for _, o := range old {
		seen[o.place] = true
		n, ok := byPlace[o.place]
		switch {
		case !ok:
			out = append(out, Change{Kind: Removed, Place: o.place, OldOwner: o.owner, Old: o.text})
		case n.text != o.text:
			out = append(out, Change{Kind: Changed, Place: o.place, OldOwner: o.owner, NewOwner: n.owner, Old: o.text, New: n.text})
		}
	}
	for _, n := range recent {
		if !seen[n.place] {
			out = append(out, Change{Kind: Added, Place: n.place, NewOwner: n.owner, New: n.text})
		}
	}
	return out
}

// String returns the change as a unified diff below a line that names the kind
// of change, the place and the owner.
func (c Change) String() string {
	owner := c.NewOwner
	if owner == "" {
		owner = c.OldOwner
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", c.Kind, c.Place)
	if owner != "" {
		fmt.Fprintf(&b, " (owner %s)", owner)
	}
	b.WriteByte('\n')
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(c.Old), B: difflib.SplitLines(c.New), Context: diffContextLines,
	})
	if err != nil {
		return b.String() // Writing to memory does not fail.
	}
	b.WriteString(text)
	return b.String()
}

func declarations(c Config) []declaration {
	var out []declaration
	add := func(place, owner string, v any) {
		out = append(out, declaration{place: place, owner: owner, text: yamlText(v)})
	}
	for _, w := range c.Workspaces {
		add("workspaces["+w.Name+"]", w.Owner, w)
	}
	for _, m := range c.Models {
		add("models["+m.Name+"]", m.Owner, m)
	}
	for _, s := range c.Services {
		add("services["+s.Name+"]", s.Owner, s)
	}
	for _, u := range c.Upstreams {
		add("upstreams["+u.Name+"]", u.Owner, u)
	}
	for _, r := range c.Rollouts {
		add("rollouts["+r.Model+"/"+r.Version+"]", r.Owner, r)
	}
	for _, w := range c.Withdrawals {
		add("withdrawals["+w.Model+"/"+w.Version+"]", w.Owner, w)
	}
	if c.Retention != (Retention{}) {
		add("retention", "", c.Retention)
	}
	return out
}

func yamlText(v any) string {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(indentWidth)
	if err := enc.Encode(v); err != nil {
		return fmt.Sprintf("%+v", v) // Declarations always encode; this still shows a difference.
	}
	return b.String()
}
