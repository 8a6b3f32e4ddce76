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
	// Fault is one error in a configuration.
	Fault struct {
		// Place is the path of the declaration, such as
		// "workspaces[counter].models[engraver]".
		Place string `cbor:"place" json:"place"`
		// Problem states the error and what is allowed instead.
		Problem string `cbor:"problem" json:"problem"`
	}

	// InvalidError reports a configuration that was refused as a whole, with
	// all its faults.
	InvalidError struct{ Faults []Fault }

	// checker checks conf and collects its faults.
	checker struct {
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
	k := &checker{conf: c}
	k.checkWorkspaces()
	k.checkModels()
	k.checkServices()
	k.checkUpstreams()
	k.checkRollouts()
	k.checkWithdrawals()
	k.checkRetention()
	return k.faults
}

func (k *checker) addFault(place, format string, args ...any) {
	k.faults = append(k.faults, Fault{Place: place, Problem: fmt.Sprintf(format, args...)})
}

// checkHeader checks the name of a declaration, that it is unique in its section,
// and that owner and reason are given. It returns the place of the declaration.
func (k *checker) checkHeader(seen map[string]bool, section, name string, intent Intent) string {
	place := fmt.Sprintf("%s[%s]", section, name)
	if seen[name] {
		k.addFault(place, "declared twice; remove one of the two")
	}
	seen[name] = true
	for _, part := range strings.Split(name, "/") {
		if !namePattern.MatchString(part) {
			k.addFault(place, "the name must have 1 to 63 letters, digits, dots, dashes or underscores and start with a letter or digit")
			break
		}
	}
	if intent.Owner == "" {
		k.addFault(place, "owner is missing; name the office that wants the declaration")
	}
	if intent.Why == "" {
		k.addFault(place, "why is missing; give the reason for the declaration")
	}
	return place
}

func (k *checker) checkShare(place, field string, v float64) {
	if !(v >= 0 && v <= 1) {
		k.addFault(place, "%s is %v; it must lie between 0 and 1", field, v)
	}
}

func (k *checker) checkNotNegative(place, field string, v int64) {
	if v < 0 {
		k.addFault(place, "%s is %d; it must not be negative", field, v)
	}
}

func (k *checker) checkVersion(place, model, version string) {
	m := find(k.conf.Models, func(m Model) bool { return m.Name == model })
	if m == nil {
		k.addFault(place, "model %q is not declared", model)
		return
	}
	if find(m.Versions, func(v Version) bool { return v.Name == version }) == nil {
		k.addFault(place, "model %q has no version %q", model, version)
	}
}

func (k *checker) checkWorkspaces() {
	seen, keyPlaces := map[string]bool{}, map[string]string{}
	for _, w := range k.conf.Workspaces {
		place := k.checkHeader(seen, "workspaces", w.Name, w.Intent)
		switch w.Weigh {
		case "", WeighCost, WeighLatency:
		default:
			k.addFault(place, "weigh is %q; it must be %q or %q", w.Weigh, WeighCost, WeighLatency)
		}
		k.checkLimits(place, w)
		k.checkMembers(place, w, keyPlaces)
		k.checkAllowedModels(place, w)
		for kind, q := range w.Quality {
			if kind != KindLong && kind != KindShort && kind != KindChat {
				k.addFault(place, "quality names the kind %q; kinds are %q, %q and %q", kind, KindLong, KindShort, KindChat)
			}
			k.checkShare(place, "quality of "+string(kind), q)
		}
		for _, s := range w.Services {
			if find(k.conf.Services, func(v Service) bool { return v.Name == s }) == nil {
				k.addFault(place, "service %q is not declared", s)
			}
		}
	}
}

func (k *checker) checkLimits(place string, w Workspace) {
	k.checkShare(place, "explore", w.Explore)
	k.checkNotNegative(place, "share", int64(w.Share))
	k.checkNotNegative(place, "concurrent", int64(w.Concurrent))
	k.checkNotNegative(place, "queue", int64(w.Queue))
	k.checkNotNegative(place, "deadline", int64(w.Deadline))
}

func (k *checker) checkMembers(place string, w Workspace, keyPlaces map[string]string) {
	seen := map[string]bool{}
	for _, m := range w.Members {
		p := fmt.Sprintf("%s.members[%s]", place, m.Name)
		if !namePattern.MatchString(m.Name) {
			k.addFault(p, "the member needs a name of letters, digits, dots, dashes or underscores")
		}
		if seen[m.Name] {
			k.addFault(p, "declared twice; remove one of the two")
		}
		seen[m.Name] = true
		for _, d := range m.KeyDigests {
			if b, err := hex.DecodeString(d); err != nil || len(b) != digestBytes || strings.ToLower(d) != d {
				k.addFault(p, "a key digest must be a SHA-256 in 64 lower-case hexadecimal digits; make it with declarer.KeyDigest")
			}
			if other, ok := keyPlaces[d]; ok {
				k.addFault(p, "the API key also belongs to %s; a key has one member", other)
			}
			keyPlaces[d] = p
		}
	}
}

func (k *checker) checkAllowedModels(place string, w Workspace) {
	seen := map[string]bool{}
	for _, a := range w.Models {
		p := fmt.Sprintf("%s.models[%s]", place, a.Model)
		if seen[a.Model] {
			k.addFault(p, "allowed twice; join the two")
		}
		seen[a.Model] = true
		if find(k.conf.Models, func(m Model) bool { return m.Name == a.Model }) == nil {
			k.addFault(p, "model %q is not declared", a.Model)
			continue
		}
		for _, v := range a.Versions {
			k.checkVersion(p, a.Model, v)
		}
	}
}

func (k *checker) checkModels() {
	seen := map[string]bool{}
	for _, m := range k.conf.Models {
		place := k.checkHeader(seen, "models", m.Name, m.Intent)
		switch m.CutOff {
		case "", CutOffServe, CutOffRefuse:
		default:
			k.addFault(place, "cutOff is %q; it must be %q or %q", m.CutOff, CutOffServe, CutOffRefuse)
		}
		if m.Name == AnyModel {
			k.addFault(place, "the name %q is kept for requests that leave the choice of model to the router", AnyModel)
		}
		k.checkVersion(place+".stable", m.Name, m.Stable)
		names := map[string]bool{}
		for _, v := range m.Versions {
			p := fmt.Sprintf("%s.versions[%s]", place, v.Name)
			if names[v.Name] {
				k.addFault(p, "declared twice; remove one of the two")
			}
			names[v.Name] = true
			if !namePattern.MatchString(v.Name) {
				k.addFault(p, "the version needs a name of letters, digits, dots, dashes or underscores")
			}
			k.checkShare(p, "quality", v.Quality)
			k.checkNotNegative(p, "price.inputNanos", v.Price.InputNanos)
			k.checkNotNegative(p, "price.outputNanos", v.Price.OutputNanos)
		}
	}
}

func (k *checker) checkServices() {
	seen := map[string]bool{}
	for _, s := range k.conf.Services {
		place := k.checkHeader(seen, "services", s.Name, s.Intent)
		k.checkNotNegative(place, "priceNanos", s.PriceNanos)
		calls := map[string]bool{}
		for _, c := range s.Calls {
			p := fmt.Sprintf("%s.calls[%s %s]", place, c.Method, c.Path)
			if calls[c.Method+" "+c.Path] {
				k.addFault(p, "declared twice; remove one of the two")
			}
			calls[c.Method+" "+c.Path] = true
			if c.Method == "" || c.Method != strings.ToUpper(c.Method) {
				k.addFault(p, "method must be an HTTP method in capitals")
			}
			if !strings.HasPrefix(c.Path, "/") {
				k.addFault(p, "path must start with a slash")
			}
			k.checkNotNegative(p, "timeout", int64(c.Timeout))
		}
	}
}

func (k *checker) checkUpstreams() {
	seen, addrs := map[string]bool{}, map[string]string{}
	for _, u := range k.conf.Upstreams {
		place := k.checkHeader(seen, "upstreams", u.Name, u.Intent)
		if u.Zone == "" {
			k.addFault(place, "zone is missing; name the availability zone")
		}
		if !u.Address.IsValid() {
			k.addFault(place, "address is missing; give an IP address and a port")
		} else if other, ok := addrs[u.Address.String()]; ok {
			k.addFault(place, "address %s also belongs to %s", u.Address, other)
		} else {
			addrs[u.Address.String()] = u.Name
		}
		if (u.Service == "") == (len(u.Serves) == 0) {
			k.addFault(place, "either serves or service must be set, and not both")
		}
		if u.Service != "" && find(k.conf.Services, func(s Service) bool { return s.Name == u.Service }) == nil {
			k.addFault(place, "service %q is not declared", u.Service)
		}
		for _, r := range u.Serves {
			k.checkVersion(place, r.Model, r.Version)
		}
		k.checkNotNegative(place, "slots", int64(u.Slots))
	}
}

func (k *checker) checkRollouts() {
	models := map[string]bool{}
	for _, r := range k.conf.Rollouts {
		place := fmt.Sprintf("rollouts[%s/%s]", r.Model, r.Version)
		k.checkHeader(map[string]bool{}, "rollouts", r.Model+"/"+r.Version, r.Intent)
		if models[r.Model] {
			k.addFault(place, "model %q has another rollout; a model has one at a time", r.Model)
		}
		models[r.Model] = true
		k.checkVersion(place, r.Model, r.Version)
		if m := find(k.conf.Models, func(m Model) bool { return m.Name == r.Model }); m != nil && m.Stable == r.Version {
			k.addFault(place, "version %q is the stable one already", r.Version)
		}
		k.checkShare(place, "guard.minQuality", r.Guard.MinQuality)
		k.checkShare(place, "guard.maxErrors", r.Guard.MaxErrors)
		k.checkNotNegative(place, "guard.firstToken", int64(r.Guard.FirstToken))
		k.checkStages(place, r.Stages)
	}
}

func (k *checker) checkStages(place string, stages []Stage) {
	if len(stages) == 0 {
		k.addFault(place, "stages are missing; declarer.DefaultStages gives the usual ones")
	}
	lastShare := 0.0
	for i, s := range stages {
		p := fmt.Sprintf("%s.stages[%d]", place, i)
		if !(s.Share > lastShare && s.Share <= 1) {
			k.addFault(p, "share is %v; it must grow from stage to stage and be at most 1", s.Share)
		}
		lastShare = s.Share
		k.checkNotNegative(p, "soak", int64(s.Soak))
		if s.Budget < 1 {
			k.addFault(p, "budget is %d; it must be at least 1 request", s.Budget)
		}
	}
}

func (k *checker) checkWithdrawals() {
	seen := map[string]bool{}
	for _, w := range k.conf.Withdrawals {
		place := k.checkHeader(seen, "withdrawals", w.Model+"/"+w.Version, w.Intent)
		k.checkVersion(place, w.Model, w.Version)
	}
}

func (k *checker) checkRetention() {
	r := k.conf.Retention
	k.checkNotNegative("retention", "claims", int64(r.Claims))
	k.checkNotNegative("retention", "pins", int64(r.Pins))
	k.checkNotNegative("retention", "bills", int64(r.Bills))
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
