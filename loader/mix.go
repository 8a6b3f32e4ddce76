package loader

import (
	"math/rand/v2"
	"net/http"
	"time"

	"foxtailwall/declarer"
)

const (
	// Auto is the model name that lets the router choose the model.
	Auto = declarer.AnyModel

	pathBookings = "/bookings"
	pathOrders   = "/orders"
)

type (
	// Range is an inclusive range of integers.
	Range struct{ Min, Max int }

	// Class describes requests of one type and their share of a mix.
	Class struct {
		Name   string
		Weight float64
		// Kind is empty for calls of a plain service.
		Kind declarer.Kind
		// Shared is the length in tokens of a shared document (guidelines,
		// portfolios) at the start of a prompt. Each workspace has Documents of
		// them.
		Shared    Range
		Documents int
		// Prompt is the length of a request's own part of the prompt, Output
		// the maximum answer length, both in tokens.
		Prompt, Output Range
		Stream         bool
		// Session groups the requests into sessions of several turns.
		Session bool
		// Method and Path describe a call of a plain service.
		Method, Path string
		// Deadline is sent in a header if it is not zero.
		Deadline time.Duration
	}

	// Mix describes which classes of requests make up a load.
	Mix struct {
		Name    string
		Classes []Class
		// Turns is the number of turns of a session.
		Turns Range
	}

	// Workspace is a workspace that sends requests.
	Workspace struct {
		Name string
		// Weight is its share of the arrivals relative to other workspaces.
		Weight  float64
		Members []Member
		// Allowed lists the versions it may use; empty allows all.
		Allowed []declarer.VersionRef
		// Quality is the target share of passing answers by kind.
		Quality map[declarer.Kind]float64
		// Service names the plain service that it calls.
		Service string
	}

	// Member is a billed member and its API key.
	Member struct{ Name, Key string }
)

// Cooperative returns the mix of the engravers' cooperative deployment.
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

// Festival returns the mix of the chalk festival deployment.
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

// MixByName returns the mix with that name and whether it exists.
func MixByName(name string) (Mix, bool) {
	for _, m := range []Mix{Cooperative(), Festival()} {
		if m.Name == name {
			return m, true
		}
	}
	return Mix{}, false
}

// SetWeights sets the weights of the workspaces in place: the first n share the
// fraction largeShare (0 to 1) of the arrivals equally, the others the rest.
func SetWeights(workspaces []Workspace, n int, largeShare float64) {
	n = min(n, len(workspaces))
	for i := range workspaces {
		if i < n {
			workspaces[i].Weight = largeShare / float64(n)
		} else {
			workspaces[i].Weight = (1 - largeShare) / float64(len(workspaces)-n)
		}
	}
}

// WorkspacesFromConfig returns the workspaces of a declared configuration. secrets
// maps "workspace/member" to the API key; members without a key are left out, as
// are workspaces without members. The first two workspaces get two thirds of the
// arrivals.
func WorkspacesFromConfig(c declarer.Config, secrets map[string]string) []Workspace {
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
	SetWeights(out, largeWorkspaces, largeShare)
	return out
}

// draw returns a random number from the range, or Min if Max is not above it.
func (r Range) draw(rng *rand.Rand) int {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + rng.IntN(r.Max-r.Min+1)
}
