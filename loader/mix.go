// Package loader drives a running deployment with the mixes of the two first
// deployments and audits what happened from outside: from what callers
// received, what upstreams ran and the exported ledger, never from the router's
// own counters.
//
// # Usage
//
//	conf := loader.Config{
//		Seed: 1, Entries: entries, Mix: loader.Cooperative(), Rate: 50, Duration: time.Minute,
//		Workspaces: workspaces, Engines: engines, Services: services,
//	}
//	l := loader.New(conf)
//	err := l.Run(ctx)                     // sends the load and sets the faults
//	err = l.Collect(ctx)                  // reads the counts of the upstreams
//	l.Audit().Ledger(records)             // the exported ledger
//	report := l.Report()
//	report.Print(os.Stdout)
//
// Arrivals are open-loop: they are drawn from the seed in advance (Poisson), a
// slow answer does not delay a later arrival, and latency counts from the
// intended start.
//
// Audit can be used without a Loader; the demo feeds it directly.
package loader

import (
	"math/rand/v2"
	"net/http"
	"time"

	"foxtailwall/declarer"
)

const (
	// Auto is the model name that leaves the choice to the router.
	Auto = declarer.AnyModel

	pathBookings = "/bookings"
	pathOrders   = "/orders"
)

type (
	// Range is a range of whole numbers, both ends included.
	Range struct{ Min, Max int }

	// Class is one class of requests of a mix.
	Class struct {
		Name   string
		Weight float64
		// Kind is empty for calls of a plain service.
		Kind declarer.Kind
		// Shared is the number of prompt tokens that requests of one workspace
		// have in common (guidelines, portfolios), spread over Documents
		// documents.
		Shared    Range
		Documents int
		// Prompt and Output are in tokens.
		Prompt, Output Range
		Stream         bool
		// Session makes the requests turns of sessions.
		Session bool
		// Method and Path are those of a plain service's call.
		Method, Path string
		// Deadline is sent along if it is not zero.
		Deadline time.Duration
	}

	// Mix is the load of a deployment.
	Mix struct {
		Name    string
		Classes []Class
		// Turns is the number of turns of a session.
		Turns Range
	}

	// Workspace is a caller of the load.
	Workspace struct {
		Name string
		// Weight is its share of the arrivals.
		Weight  float64
		Members []Member
		// Allowed lists the versions it may use; empty allows all.
		Allowed []declarer.VersionRef
		// Quality is the target by kind.
		Quality map[declarer.Kind]float64
		// Service is the name of the plain service it calls.
		Service string
	}

	// Member is a billed member and its API key.
	Member struct{ Name, Key string }
)

// Cooperative returns the mix of the engravers' cooperative.
func Cooperative() Mix {
	return Mix{
		Name: "cooperative", Turns: Range{2, 6},
		Classes: []Class{
			{Name: "proof", Weight: 0.15, Kind: declarer.KindLong, Shared: Range{1500, 3000}, Documents: 3, Prompt: Range{80, 300}, Output: Range{60, 160}},
			{Name: "draft", Weight: 0.40, Kind: declarer.KindShort, Prompt: Range{30, 120}, Output: Range{15, 50}},
			{Name: "lettering", Weight: 0.30, Kind: declarer.KindChat, Stream: true, Session: true, Shared: Range{200, 400}, Documents: 6, Prompt: Range{20, 80}, Output: Range{30, 90}},
			{Name: "laser booking", Weight: 0.05, Method: http.MethodPost, Path: pathBookings},
			{Name: "order status", Weight: 0.10, Method: http.MethodGet, Path: pathOrders},
		},
	}
}

// Festival returns the mix of the chalk festival's desk.
func Festival() Mix {
	return Mix{
		Name: "festival", Turns: Range{2, 8},
		Classes: []Class{
			{Name: "portfolio", Weight: 0.10, Kind: declarer.KindLong, Shared: Range{800, 1200}, Documents: 1, Prompt: Range{1200, 3000}, Output: Range{60, 120}},
			{Name: "reply", Weight: 0.35, Kind: declarer.KindShort, Prompt: Range{40, 150}, Output: Range{20, 60}},
			{Name: "square description", Weight: 0.40, Kind: declarer.KindChat, Stream: true, Session: true, Shared: Range{150, 250}, Documents: 4, Prompt: Range{15, 60}, Output: Range{20, 70}},
			{Name: "square booking", Weight: 0.05, Method: http.MethodPost, Path: pathBookings},
			{Name: "booking check", Weight: 0.10, Method: http.MethodGet, Path: pathBookings},
		},
	}
}

// MixByName returns the mix with that name.
func MixByName(name string) (Mix, bool) {
	for _, m := range []Mix{Cooperative(), Festival()} {
		if m.Name == name {
			return m, true
		}
	}
	return Mix{}, false
}

// Skew gives n workspaces their weights: the first large ones share the part
// large, 0 to 1, of the arrivals, the others the rest.
func Skew(ws []Workspace, n int, large float64) {
	n = min(n, len(ws))
	for i := range ws {
		if i < n {
			ws[i].Weight = large / float64(n)
		} else {
			ws[i].Weight = (1 - large) / float64(len(ws)-n)
		}
	}
}

// FromConfig returns the workspaces of a declared configuration. Secrets maps
// "workspace/member" to the API key; members without one send nothing. A large
// share (two thirds) of the arrivals goes to the first two workspaces.
func FromConfig(c declarer.Config, secrets map[string]string) []Workspace {
	const (
		largeWorkspaces = 2
		largeShare      = 2.0 / 3
	)
	var out []Workspace
	for _, w := range c.Workspaces {
		ws := Workspace{Name: w.Name, Quality: w.Quality}
		for _, m := range w.Members {
			if key, ok := secrets[w.Name+"/"+m.Name]; ok {
				ws.Members = append(ws.Members, Member{m.Name, key})
			}
		}
		for _, m := range c.Models {
			for _, v := range m.Versions {
				if r := (declarer.VersionRef{Model: m.Name, Version: v.Name}); w.Allows(r) {
					ws.Allowed = append(ws.Allowed, r)
				}
			}
		}
		if len(w.Services) > 0 {
			ws.Service = w.Services[0]
		}
		if len(ws.Members) > 0 {
			out = append(out, ws)
		}
	}
	Skew(out, largeWorkspaces, largeShare)
	return out
}

// draw returns a number of the range.
func (r Range) draw(rng *rand.Rand) int {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + rng.IntN(r.Max-r.Min+1)
}
