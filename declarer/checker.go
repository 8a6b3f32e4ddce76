package declarer

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
)

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

type (
	// Fault is one thing that is wrong with a configuration.
	Fault struct {
		// Place is the path of the declaration, such as
		// "workspaces[counter].models[engraver]".
		Place string `cbor:"place" json:"place"`
		// Problem says what is wrong and what is allowed.
		Problem string `cbor:"problem" json:"problem"`
	}

	// InvalidError refuses a configuration whole, with every fault.
	InvalidError struct{ Faults []Fault }

	// check collects the faults of one configuration.
	check struct {
		conf   Config
		faults []Fault
	}
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// String returns "place: problem".
func (f Fault) String() string { return f.Place + ": " + f.Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return fmt.Sprintf("the configuration has %d faults and was refused whole:\n%s", len(e.Faults), strings.Join(lines, "\n"))
}

// Check returns every fault of c, in the order of the text, or nil if c is
// valid.
func Check(c Config) []Fault {
	k := &check{conf: c}
	k.workspaces()
	k.models()
	k.services()
	k.upstreams()
	k.rollouts()
	k.withdrawals()
	k.retention()
	return k.faults
}

func (k *check) fail(place, format string, args ...any) {
	k.faults = append(k.faults, Fault{Place: place, Problem: fmt.Sprintf(format, args...)})
}

// named checks the name and the intent of a declaration and that its name is
// not taken.
func (k *check) named(seen map[string]bool, section, name string, in Intent) string {
	place := fmt.Sprintf("%s[%s]", section, name)
	if seen[name] {
		k.fail(place, "declared twice; remove one of the two")
	}
	seen[name] = true
	for _, part := range strings.Split(name, "/") {
		if !namePattern.MatchString(part) {
			k.fail(place, "the name must have 1 to 63 letters, digits, dots, dashes or underscores and start with a letter or digit")
			break
		}
	}
	if in.Owner == "" {
		k.fail(place, "owner is missing; name the office that wants the declaration")
	}
	if in.Why == "" {
		k.fail(place, "why is missing; give the reason for the declaration")
	}
	return place
}

func (k *check) share(place, field string, v float64) {
	if !(v >= 0 && v <= 1) {
		k.fail(place, "%s is %v; it must lie between 0 and 1", field, v)
	}
}

func (k *check) notNegative(place, field string, v int64) {
	if v < 0 {
		k.fail(place, "%s is %d; it must not be negative", field, v)
	}
}

func (k *check) version(place, model, version string) {
	m := find(k.conf.Models, func(m Model) bool { return m.Name == model })
	if m == nil {
		k.fail(place, "model %q is not declared", model)
		return
	}
	if find(m.Versions, func(v Version) bool { return v.Name == version }) == nil {
		k.fail(place, "model %q has no version %q", model, version)
	}
}

func (k *check) workspaces() {
	seen, keys := map[string]bool{}, map[string]string{}
	for _, w := range k.conf.Workspaces {
		place := k.named(seen, "workspaces", w.Name, w.Intent)
		switch w.Weigh {
		case "", WeighCost, WeighLatency:
		default:
			k.fail(place, "weigh is %q; it must be %q or %q", w.Weigh, WeighCost, WeighLatency)
		}
		k.workspaceLimits(place, w)
		k.members(place, w, keys)
		k.allowed(place, w)
		for kind, q := range w.Quality {
			if kind != KindLong && kind != KindShort && kind != KindChat {
				k.fail(place, "quality names the kind %q; kinds are %q, %q and %q", kind, KindLong, KindShort, KindChat)
			}
			k.share(place, "quality of "+string(kind), q)
		}
		for _, s := range w.Services {
			if find(k.conf.Services, func(v Service) bool { return v.Name == s }) == nil {
				k.fail(place, "service %q is not declared", s)
			}
		}
	}
}

func (k *check) workspaceLimits(place string, w Workspace) {
	k.share(place, "explore", w.Explore)
	k.notNegative(place, "share", int64(w.Share))
	k.notNegative(place, "concurrent", int64(w.Concurrent))
	k.notNegative(place, "queue", int64(w.Queue))
	k.notNegative(place, "deadline", int64(w.Deadline))
}

func (k *check) members(place string, w Workspace, keys map[string]string) {
	seen := map[string]bool{}
	for _, m := range w.Members {
		p := fmt.Sprintf("%s.members[%s]", place, m.Name)
		if !namePattern.MatchString(m.Name) {
			k.fail(p, "the member needs a name of letters, digits, dots, dashes or underscores")
		}
		if seen[m.Name] {
			k.fail(p, "declared twice; remove one of the two")
		}
		seen[m.Name] = true
		for _, d := range m.KeyDigests {
			if b, err := hex.DecodeString(d); err != nil || len(b) != digestBytes || strings.ToLower(d) != d {
				k.fail(p, "a key digest must be a SHA-256 in 64 lower-case hexadecimal digits; make it with declarer.KeyDigest")
			}
			if other, ok := keys[d]; ok {
				k.fail(p, "the API key also belongs to %s; a key has one member", other)
			}
			keys[d] = p
		}
	}
}

func (k *check) allowed(place string, w Workspace) {
	seen := map[string]bool{}
	for _, a := range w.Models {
		p := fmt.Sprintf("%s.models[%s]", place, a.Model)
		if seen[a.Model] {
			k.fail(p, "allowed twice; join the two")
		}
		seen[a.Model] = true
		if find(k.conf.Models, func(m Model) bool { return m.Name == a.Model }) == nil {
			k.fail(p, "model %q is not declared", a.Model)
			continue
		}
		for _, v := range a.Versions {
			k.version(p, a.Model, v)
		}
	}
}

func (k *check) models() {
	seen := map[string]bool{}
	for _, m := range k.conf.Models {
		place := k.named(seen, "models", m.Name, m.Intent)
		switch m.CutOff {
		case "", CutOffServe, CutOffRefuse:
		default:
			k.fail(place, "cutOff is %q; it must be %q or %q", m.CutOff, CutOffServe, CutOffRefuse)
		}
		if m.Name == AnyModel {
			k.fail(place, "the name %q is kept for requests that leave the choice of model to the router", AnyModel)
		}
		k.version(place+".stable", m.Name, m.Stable)
		names := map[string]bool{}
		for _, v := range m.Versions {
			p := fmt.Sprintf("%s.versions[%s]", place, v.Name)
			if names[v.Name] {
				k.fail(p, "declared twice; remove one of the two")
			}
			names[v.Name] = true
			if !namePattern.MatchString(v.Name) {
				k.fail(p, "the version needs a name of letters, digits, dots, dashes or underscores")
			}
			k.share(p, "quality", v.Quality)
			k.notNegative(p, "price.inputNanos", v.Price.InputNanos)
			k.notNegative(p, "price.outputNanos", v.Price.OutputNanos)
		}
	}
}

func (k *check) services() {
	seen := map[string]bool{}
	for _, s := range k.conf.Services {
		place := k.named(seen, "services", s.Name, s.Intent)
		k.notNegative(place, "priceNanos", s.PriceNanos)
		calls := map[string]bool{}
		for _, c := range s.Calls {
			p := fmt.Sprintf("%s.calls[%s %s]", place, c.Method, c.Path)
			if calls[c.Method+" "+c.Path] {
				k.fail(p, "declared twice; remove one of the two")
			}
			calls[c.Method+" "+c.Path] = true
			if c.Method == "" || c.Method != strings.ToUpper(c.Method) {
				k.fail(p, "method must be an HTTP method in capitals")
			}
			if !strings.HasPrefix(c.Path, "/") {
				k.fail(p, "path must start with a slash")
			}
			k.notNegative(p, "timeout", int64(c.Timeout))
		}
	}
}

func (k *check) upstreams() {
	seen, addrs := map[string]bool{}, map[string]string{}
	for _, u := range k.conf.Upstreams {
		place := k.named(seen, "upstreams", u.Name, u.Intent)
		if u.Zone == "" {
			k.fail(place, "zone is missing; name the availability zone")
		}
		if !u.Address.IsValid() {
			k.fail(place, "address is missing; give an IP address and a port")
		} else if other, ok := addrs[u.Address.String()]; ok {
			k.fail(place, "address %s also belongs to %s", u.Address, other)
		} else {
			addrs[u.Address.String()] = u.Name
		}
		if (u.Service == "") == (len(u.Serves) == 0) {
			k.fail(place, "either serves or service must be set, and not both")
		}
		if u.Service != "" && find(k.conf.Services, func(s Service) bool { return s.Name == u.Service }) == nil {
			k.fail(place, "service %q is not declared", u.Service)
		}
		for _, r := range u.Serves {
			k.version(place, r.Model, r.Version)
		}
		k.notNegative(place, "slots", int64(u.Slots))
	}
}

func (k *check) rollouts() {
	models := map[string]bool{}
	for _, r := range k.conf.Rollouts {
		place := fmt.Sprintf("rollouts[%s/%s]", r.Model, r.Version)
		k.named(map[string]bool{}, "rollouts", r.Model+"/"+r.Version, r.Intent)
		if models[r.Model] {
			k.fail(place, "model %q has another rollout; a model has one at a time", r.Model)
		}
		models[r.Model] = true
		k.version(place, r.Model, r.Version)
		if m := find(k.conf.Models, func(m Model) bool { return m.Name == r.Model }); m != nil && m.Stable == r.Version {
			k.fail(place, "version %q is the stable one already", r.Version)
		}
		k.share(place, "guard.minQuality", r.Guard.MinQuality)
		k.share(place, "guard.maxErrors", r.Guard.MaxErrors)
		k.notNegative(place, "guard.firstToken", int64(r.Guard.FirstToken))
		k.stages(place, r.Stages)
	}
}

func (k *check) stages(place string, stages []Stage) {
	if len(stages) == 0 {
		k.fail(place, "stages are missing; declarer.DefaultStages gives the usual ones")
	}
	last := 0.0
	for i, s := range stages {
		p := fmt.Sprintf("%s.stages[%d]", place, i)
		if !(s.Share > last && s.Share <= 1) {
			k.fail(p, "share is %v; it must grow from stage to stage and be at most 1", s.Share)
		}
		last = s.Share
		k.notNegative(p, "soak", int64(s.Soak))
		if s.Budget < 1 {
			k.fail(p, "budget is %d; it must be at least 1 request", s.Budget)
		}
	}
}

func (k *check) withdrawals() {
	seen := map[string]bool{}
	for _, w := range k.conf.Withdrawals {
		place := k.named(seen, "withdrawals", w.Model+"/"+w.Version, w.Intent)
		k.version(place, w.Model, w.Version)
	}
}

func (k *check) retention() {
	r := k.conf.Retention
	k.notNegative("retention", "claims", int64(r.Claims))
	k.notNegative("retention", "pins", int64(r.Pins))
	k.notNegative("retention", "bills", int64(r.Bills))
}

// find returns the first element that matches, or nil.
func find[T any](s []T, match func(T) bool) *T {
	for i := range s {
		if match(s[i]) {
			return &s[i]
		}
	}
	return nil
}
