package declarer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"slices"
	"time"
)

type (
	// View is what the control group distributes to hosts: an accepted
	// configuration with the state of its rollouts and quarantines.
	View struct {
		// Version increases with every change and never decreases.
		Version uint64 `cbor:"version"`
		Config  Config `cbor:"config"`
		// Progress holds the state of each rollout.
		Progress []Progress `cbor:"progress,omitempty"`
		// Quarantined lists versions that the change detector has taken out
		// of use.
		Quarantined []VersionRef `cbor:"quarantined,omitempty"`
		// Evacuated lists zones whose upstreams get no new requests.
		Evacuated []Evacuation `cbor:"evacuated,omitempty"`
	}

	// Evacuation says that the upstreams of a zone get no new requests.
	Evacuation struct {
		Zone string `cbor:"zone" json:"zone"`
		// Since is the leader's time when the order was accepted.
		Since time.Time `cbor:"since" json:"since"`
	}

	// Progress is the state of one rollout.
	Progress struct {
		Model   string `cbor:"model"`
		Version string `cbor:"version"`
		// Stage is the index of the current stage.
		Stage int `cbor:"stage"`
		// Share is the share of sessions that the version gets, 0 to 1.
		Share float64      `cbor:"share"`
		State RolloutState `cbor:"state"`
		// Since is when the current stage began, by the leader's clock.
		Since time.Time `cbor:"since"`
		// Spent is the number of requests that reached the version in this
		// stage.
		Spent int64 `cbor:"spent"`
		// Reason says why the rollout was halted.
		Reason string `cbor:"reason,omitempty"`
	}

	// RolloutState is the state of a rollout.
	RolloutState string

	// Catalog is a View indexed for lookups on the request path. It is
	// immutable.
	Catalog struct {
		View View

		workspaces       map[string]*Workspace
		models           map[string]*Model
		services         map[string]*Service
		keys             map[[sha256.Size]byte]KeyHolder
		withdrawn        map[VersionRef]bool
		quarantine       map[VersionRef]bool
		progress         map[string]*Progress
		versionUpstreams map[VersionRef][]*Upstream
		serviceUpstreams map[string][]*Upstream
	}

	// KeyHolder is the workspace and member that an API key belongs to.
	KeyHolder struct {
		Workspace *Workspace
		Member    string
	}
)

// States of a rollout.
const (
	// RolloutRunning assigns the current share of sessions to the version.
	RolloutRunning RolloutState = "running"
	// RolloutHalted assigns no sessions; the rollout has been rolled back.
	RolloutHalted RolloutState = "halted"
	// RolloutDone has made the version the stable one.
	RolloutDone RolloutState = "done"
)

// NewCatalog returns the index of v. The caller must not change v afterwards.
func NewCatalog(v View) *Catalog {
	c := &Catalog{
		View:             v,
		workspaces:       make(map[string]*Workspace, len(v.Config.Workspaces)),
		models:           make(map[string]*Model, len(v.Config.Models)),
		services:         make(map[string]*Service, len(v.Config.Services)),
		keys:             make(map[[sha256.Size]byte]KeyHolder),
		withdrawn:        make(map[VersionRef]bool, len(v.Config.Withdrawals)),
		quarantine:       make(map[VersionRef]bool, len(v.Quarantined)),
		progress:         make(map[string]*Progress, len(v.Progress)),
		versionUpstreams: make(map[VersionRef][]*Upstream),
		serviceUpstreams: make(map[string][]*Upstream),
	}
	for i := range v.Config.Workspaces {
		w := &v.Config.Workspaces[i]
		c.workspaces[w.Name] = w
		for _, m := range w.Members {
			for _, d := range m.KeyDigests {
				c.keys[blindDigest(d)] = KeyHolder{Workspace: w, Member: m.Name}
			}
		}
	}
	for i := range v.Config.Models {
		c.models[v.Config.Models[i].Name] = &v.Config.Models[i]
	}
	for i := range v.Config.Services {
		c.services[v.Config.Services[i].Name] = &v.Config.Services[i]
	}
	for _, w := range v.Config.Withdrawals {
		c.withdrawn[VersionRef{w.Model, w.Version}] = true
	}
	for _, q := range v.Quarantined {
		c.quarantine[q] = true
	}
	for i := range v.Progress {
		c.progress[v.Progress[i].Model] = &v.Progress[i]
	}
	for i := range v.Config.Upstreams {
		u := &v.Config.Upstreams[i]
		if c.IsEvacuated(u.Zone) {
			continue
		}
		for _, r := range u.Serves {
			c.versionUpstreams[r] = append(c.versionUpstreams[r], u)
		}
		if u.Service != "" {
			c.serviceUpstreams[u.Service] = append(c.serviceUpstreams[u.Service], u)
		}
	}
	return c
}

// Workspace returns the workspace with that name, or nil.
func (c *Catalog) Workspace(name string) *Workspace { return c.workspaces[name] }

// Model returns the model with that name, or nil.
func (c *Catalog) Model(name string) *Model { return c.models[name] }

// Service returns the plain service with that name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// FindKeyHolder returns the holder of the API key with the given digest, as
// made by KeyDigest. Keys are indexed by an HMAC under a random key of this
// process, so the time of a lookup reveals nothing about the declared digests.
func (c *Catalog) FindKeyHolder(digest string) (KeyHolder, bool) {
	h, ok := c.keys[blindDigest(digest)]
	return h, ok
}

// blindKey is the HMAC key of blindDigest, random for each process.
var blindKey = func() []byte {
	b := make([]byte, sha256.Size)
	_, _ = rand.Read(b) // crypto/rand does not fail.
	return b
}()

func blindDigest(digest string) [sha256.Size]byte {
	m := hmac.New(sha256.New, blindKey)
	m.Write([]byte(digest))
	return [sha256.Size]byte(m.Sum(nil))
}

// Withdrawn reports whether the version was withdrawn.
func (c *Catalog) Withdrawn(r VersionRef) bool { return c.withdrawn[r] }

// Quarantined reports whether the change detector took the version out of use.
func (c *Catalog) Quarantined(r VersionRef) bool { return c.quarantine[r] }

// Rollout returns the progress of the model's rollout, or nil.
func (c *Catalog) Rollout(model string) *Progress { return c.progress[model] }

// IsEvacuated reports whether the upstreams of the zone get no new requests.
func (c *Catalog) IsEvacuated(zone string) bool {
	return slices.ContainsFunc(c.View.Evacuated, func(e Evacuation) bool { return e.Zone == zone })
}

// Upstreams returns the replicas that serve the version, without those in evacuated
// zones.
func (c *Catalog) Upstreams(r VersionRef) []*Upstream { return c.versionUpstreams[r] }

// ServiceUpstreams returns the replicas of the plain service, without those in evacuated
// zones.
func (c *Catalog) ServiceUpstreams(name string) []*Upstream { return c.serviceUpstreams[name] }

// Version returns the declaration of a version, or nil.
func (c *Catalog) Version(r VersionRef) *Version {
	m := c.models[r.Model]
	if m == nil {
		return nil
	}
	i := slices.IndexFunc(m.Versions, func(v Version) bool { return v.Name == r.Version })
	if i < 0 {
		return nil
	}
	return &m.Versions[i]
}

// Allows reports whether the workspace is configured to use the version. It
// ignores withdrawals.
func (w *Workspace) Allows(r VersionRef) bool {
	for _, a := range w.Models {
		if a.Model != r.Model {
			continue
		}
		return len(a.Versions) == 0 || slices.Contains(a.Versions, r.Version)
	}
	return false
}

// FindCall returns the declared call with the longest path that matches the
// request, or nil.
func (s *Service) FindCall(method, path string) *Call {
	var best *Call
	for i := range s.Calls {
		c := &s.Calls[i]
		if c.Method != method || !hasPathPrefix(path, c.Path) {
			continue
		}
		if best == nil || len(c.Path) > len(best.Path) {
			best = c
		}
	}
	return best
}

func hasPathPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
