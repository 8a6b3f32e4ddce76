package relayer

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"foxtailwall/declarer"
)

type (
	// Delta lists the declarations that differ between the view with version
	// Base and a newer one. A nil list or Retention has not changed.
	Delta struct {
		Base        uint64                       `cbor:"base"`
		Workspaces  *change[declarer.Workspace]  `cbor:"workspaces,omitempty"`
		Models      *change[declarer.Model]      `cbor:"models,omitempty"`
		Services    *change[declarer.Service]    `cbor:"services,omitempty"`
		Upstreams   *change[declarer.Upstream]   `cbor:"upstreams,omitempty"`
		Rollouts    *change[declarer.Rollout]    `cbor:"rollouts,omitempty"`
		Withdrawals *change[declarer.Withdrawal] `cbor:"withdrawals,omitempty"`
		Retention   *declarer.Retention          `cbor:"retention,omitempty"`
		Progress    *change[declarer.Progress]   `cbor:"progress,omitempty"`
		Quarantined *change[declarer.VersionRef] `cbor:"quarantined,omitempty"`
		Evacuated   *change[declarer.Evacuation] `cbor:"evacuated,omitempty"`
	}

	// change lists the declarations that were added or modified, and the keys
	// of those that were removed.
	change[T any] struct {
		Set    []T      `cbor:"set,omitempty"`
		Remove []string `cbor:"remove,omitempty"`
	}
)

// canonicalEncoding encodes equal views to equal bytes, so that their digests
// are equal.
var canonicalEncoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // The options are constants, so this is a programming error.
	}
	return m
}()

func workspaceKey(v declarer.Workspace) string   { return v.Name }
func modelKey(v declarer.Model) string           { return v.Name }
func serviceKey(v declarer.Service) string       { return v.Name }
func upstreamKey(v declarer.Upstream) string     { return v.Name }
func rolloutKey(v declarer.Rollout) string       { return v.Model + "/" + v.Version }
func withdrawalKey(v declarer.Withdrawal) string { return v.Model + "/" + v.Version }
func progressKey(v declarer.Progress) string     { return v.Model + "/" + v.Version }

func evacuationKey(v declarer.Evacuation) string { return v.Zone }

// Diff returns the delta from old to next. Both must be sorted as by Sorted.
func Diff(old, next declarer.View) *Delta {
	a, b := &old.Config, &next.Config
	d := &Delta{
		Base:        old.Version,
		Workspaces:  diff(a.Workspaces, b.Workspaces, workspaceKey),
		Models:      diff(a.Models, b.Models, modelKey),
		Services:    diff(a.Services, b.Services, serviceKey),
		Upstreams:   diff(a.Upstreams, b.Upstreams, upstreamKey),
		Rollouts:    diff(a.Rollouts, b.Rollouts, rolloutKey),
		Withdrawals: diff(a.Withdrawals, b.Withdrawals, withdrawalKey),
		Progress:    diff(old.Progress, next.Progress, progressKey),
		Quarantined: diff(old.Quarantined, next.Quarantined, declarer.VersionRef.String),
		Evacuated:   diff(old.Evacuated, next.Evacuated, evacuationKey),
	}
	if a.Retention != b.Retention {
		d.Retention = &b.Retention
	}
	return d
}

// patch applies d to old and returns the result as the given version. The
// lists of old are not modified.
func (d *Delta) patch(old declarer.View, version uint64) declarer.View {
	c := old.Config
	v := declarer.View{
		Version: version,
		Config: declarer.Config{
			Workspaces:  patch(c.Workspaces, d.Workspaces, workspaceKey),
			Models:      patch(c.Models, d.Models, modelKey),
			Services:    patch(c.Services, d.Services, serviceKey),
			Upstreams:   patch(c.Upstreams, d.Upstreams, upstreamKey),
			Rollouts:    patch(c.Rollouts, d.Rollouts, rolloutKey),
			Withdrawals: patch(c.Withdrawals, d.Withdrawals, withdrawalKey),
			Retention:   c.Retention,
		},
		Progress:    patch(old.Progress, d.Progress, progressKey),
		Quarantined: patch(old.Quarantined, d.Quarantined, declarer.VersionRef.String),
		Evacuated:   patch(old.Evacuated, d.Evacuated, evacuationKey),
	}
	if d.Retention != nil {
		v.Config.Retention = *d.Retention
	}
	return v
}

// Sorted returns a copy of v whose lists are sorted by key, as Diff requires.
// The lists of v are not modified.
func Sorted(v declarer.View) declarer.View {
	return (&Delta{}).patch(v, v.Version)
}

// digest returns a hash of the content and version of a sorted view.
func digest(v declarer.View) (uint64, error) {
	b, err := canonicalEncoding.Marshal(v)
	return xxhash.Sum64(b), err
}

// diff returns the change from old to next, nil if there is none.
func diff[T any](old, next []T, key func(T) string) *change[T] {
	remaining := make(map[string]T, len(old))
	for _, v := range old {
		remaining[key(v)] = v
	}
	var c change[T]
	for _, v := range next {
		k := key(v)
		if o, ok := remaining[k]; !ok || !reflect.DeepEqual(o, v) {
			c.Set = append(c.Set, v)
		}
		delete(remaining, k)
	}
	for k := range remaining {
		c.Remove = append(c.Remove, k)
	}
	slices.Sort(c.Remove)
	if len(c.Set) == 0 && len(c.Remove) == 0 {
		return nil
	}
	return &c
}

// patch returns a copy of old with c applied, sorted by key.
func patch[T any](old []T, c *change[T], key func(T) string) []T {
	out := slices.Clone(old)
	if c != nil {
		obsolete := make(map[string]bool, len(c.Set)+len(c.Remove))
		for _, v := range c.Set {
			obsolete[key(v)] = true
		}
		for _, k := range c.Remove {
			obsolete[k] = true
		}
		out = slices.DeleteFunc(out, func(v T) bool { return obsolete[key(v)] })
		out = append(out, c.Set...)
	}
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	if len(out) == 0 {
		return nil
	}
	return out
}
