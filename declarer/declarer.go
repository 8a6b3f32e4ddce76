// Package declarer defines the configuration that operators declare. It builds
// configurations in Go, prints them as text, and parses, checks and compares
// them.
//
// The text is YAML in one canonical form: lists are sorted by name, every
// declaration names its owner and the reason for it, and printing what was
// parsed gives the same bytes. It is meant to be kept in version control, where
// the diff shows each office what the others changed and why.
//
// # Usage
//
// An office builds its configuration in Go and prints it:
//
//	c := declarer.New("vancouver")
//	c.Model("engraver", "main engraving model", "v1").
//		Version("v1", declarer.Price{InputNanos: 150, OutputNanos: 600}, 0.82)
//	c.Workspace("counter", "lettering suggestions at the counter").
//		Allow("engraver").
//		Member("shop-12", declarer.KeyDigest("secret"))
//	text, err := declarer.Print(c.Config())
//
// A host reads it back:
//
//	conf, err := declarer.Parse(text)
//	if faults := declarer.Check(conf); len(faults) > 0 {
//		return &declarer.InvalidError{Faults: faults}
//	}
package declarer

import (
	"net/netip"
	"time"
)

// Criteria by which a workspace chooses among plans.
const (
	// WeighCost takes the cheapest plan that meets the quality target.
	WeighCost Weigh = "cost"
	// WeighLatency takes the fastest plan that meets the quality target.
	WeighLatency Weigh = "latency"
)

// Behaviours of a model on hosts without a valid lease.
const (
	// CutOffServe keeps serving the versions that are not in a rollout.
	CutOffServe CutOff = "serve"
	// CutOffRefuse stops serving the model when the lease expires.
	CutOffRefuse CutOff = "refuse"
)

// Kinds of model requests. Quality targets and learned pass rates are kept
// per kind.
const (
	// KindLong is a request with a long prompt whose answer is not streamed.
	KindLong Kind = "long"
	// KindShort is a request with a short prompt whose answer is not streamed.
	KindShort Kind = "short"
	// KindChat is a streamed request.
	KindChat Kind = "chat"
)

// AnyModel is the model name of a request that leaves the choice of model to
// the router.
const AnyModel = "auto"

type (
	// Weigh is the criterion by which a workspace chooses among plans.
	Weigh string

	// CutOff says whether hosts without a valid lease serve a model.
	CutOff string

	// Kind is a kind of model request.
	Kind string

	// Config is a complete configuration. Its zero value is valid and allows
	// no requests.
	Config struct {
		Workspaces  []Workspace  `yaml:"workspaces,omitempty" cbor:"workspaces,omitempty"`
		Models      []Model      `yaml:"models,omitempty" cbor:"models,omitempty"`
		Services    []Service    `yaml:"services,omitempty" cbor:"services,omitempty"`
		Upstreams   []Upstream   `yaml:"upstreams,omitempty" cbor:"upstreams,omitempty"`
		Rollouts    []Rollout    `yaml:"rollouts,omitempty" cbor:"rollouts,omitempty"`
		Withdrawals []Withdrawal `yaml:"withdrawals,omitempty" cbor:"withdrawals,omitempty"`
		Retention   Retention    `yaml:"retention,omitempty" cbor:"retention,omitempty"`
	}

	// Intent says which office wants a declaration and why. The office that
	// owns a declaration is the only one that may change or remove it.
	Intent struct {
		Owner string `yaml:"owner" cbor:"owner"`
		Why   string `yaml:"why" cbor:"why"`
	}

	// Workspace is a customer of the deployment.
	Workspace struct {
		Name    string `yaml:"name" cbor:"name"`
		Intent  `yaml:",inline"`
		Weigh   Weigh     `yaml:"weigh,omitempty" cbor:"weigh,omitempty"`
		Members []Member  `yaml:"members,omitempty" cbor:"members,omitempty"`
		Models  []Allowed `yaml:"models,omitempty" cbor:"models,omitempty"`
		// Services lists the plain services the workspace may call.
		Services []string `yaml:"services,omitempty" cbor:"services,omitempty"`
		// Quality is the target share of answers that pass the rating, 0 to 1,
		// by kind.
		Quality map[Kind]float64 `yaml:"quality,omitempty" cbor:"quality,omitempty"`
		// Share is the weight in fair queueing. Zero counts as 1.
		Share int `yaml:"share,omitempty" cbor:"share,omitempty"`
		// Concurrent bounds the requests in flight on one host. Zero means
		// no bound for this workspace.
		Concurrent int `yaml:"concurrent,omitempty" cbor:"concurrent,omitempty"`
		// Queue bounds the requests waiting on one host. Zero means the
		// default of the limiter.
		Queue int `yaml:"queue,omitempty" cbor:"queue,omitempty"`
		// Deadline is the deadline of requests that name none. Zero means the
		// default of the router.
		Deadline time.Duration `yaml:"deadline,omitempty" cbor:"deadline,omitempty"`
		// Explore is the share of requests, 0 to 1, that may run a plan in
		// order to learn its quality.
		Explore float64 `yaml:"explore,omitempty" cbor:"explore,omitempty"`
		// AcceptRepin lets sessions move to another version without the
		// caller's consent when theirs is withdrawn.
		AcceptRepin bool `yaml:"acceptRepin,omitempty" cbor:"acceptRepin,omitempty"`
	}

	// Member is a billing unit of a workspace and the holder of API keys.
	Member struct {
		Name string `yaml:"name" cbor:"name"`
		// KeyDigests are SHA-256 digests of API keys, in hexadecimal.
		KeyDigests []string `yaml:"keyDigests,omitempty" cbor:"keyDigests,omitempty"`
	}

	// Allowed is a model that a workspace may use.
	Allowed struct {
		Model string `yaml:"model" cbor:"model"`
		// Versions restricts the versions; empty allows all.
		Versions []string `yaml:"versions,omitempty" cbor:"versions,omitempty"`
	}

	// Model is a language model with its versions.
	Model struct {
		Name   string `yaml:"name" cbor:"name"`
		Intent `yaml:",inline"`
		// Stable is the version that is used outside rollouts.
		Stable   string    `yaml:"stable" cbor:"stable"`
		Versions []Version `yaml:"versions" cbor:"versions"`
		CutOff   CutOff    `yaml:"cutOff,omitempty" cbor:"cutOff,omitempty"`
	}

	// Version is one version of a model.
	Version struct {
		Name  string `yaml:"name" cbor:"name"`
		Price Price  `yaml:"price" cbor:"price"`
		// Quality is the expected share of answers that pass the rating, 0 to
		// 1. It is the prior of the learned pass rate.
		Quality float64 `yaml:"quality" cbor:"quality"`
	}

	// Price is the price per token, in nanos (1e-9) of the deployment's
	// currency.
	Price struct {
		InputNanos  int64 `yaml:"inputNanos" cbor:"inputNanos"`
		OutputNanos int64 `yaml:"outputNanos" cbor:"outputNanos"`
	}

	// Service is a plain HTTP service.
	Service struct {
		Name   string `yaml:"name" cbor:"name"`
		Intent `yaml:",inline"`
		Calls  []Call `yaml:"calls" cbor:"calls"`
		// PriceNanos is the price of each call, in nanos (1e-9) of the
		// currency.
		PriceNanos int64 `yaml:"priceNanos,omitempty" cbor:"priceNanos,omitempty"`
	}

	// Call is an endpoint of a service.
	Call struct {
		Method string `yaml:"method" cbor:"method"`
		// Path is a prefix of the request path, relative to the service.
		Path string `yaml:"path" cbor:"path"`
		// Idempotent says that the call may be retried.
		Idempotent bool          `yaml:"idempotent" cbor:"idempotent"`
		Timeout    time.Duration `yaml:"timeout,omitempty" cbor:"timeout,omitempty"`
	}

	// Upstream is one replica of a model engine or of a plain service.
	Upstream struct {
		Name    string `yaml:"name" cbor:"name"`
		Intent  `yaml:",inline"`
		Zone    string         `yaml:"zone" cbor:"zone"`
		Address netip.AddrPort `yaml:"address" cbor:"address"`
		// Serves lists the versions that a model engine is to have loaded.
		Serves []VersionRef `yaml:"serves,omitempty" cbor:"serves,omitempty"`
		// Service is the plain service that the upstream is a replica of.
		Service string `yaml:"service,omitempty" cbor:"service,omitempty"`
		// Slots is the number of requests that the replica processes at once.
		Slots int `yaml:"slots,omitempty" cbor:"slots,omitempty"`
		// ChecksFencing says that the engine refuses orders with an outdated
		// fencing token.
		ChecksFencing bool `yaml:"checksFencing,omitempty" cbor:"checksFencing,omitempty"`
		// Resumes says that the engine can resume an interrupted stream.
		Resumes bool `yaml:"resumes,omitempty" cbor:"resumes,omitempty"`
	}

	// VersionRef identifies a version of a model.
	VersionRef struct {
		Model   string `yaml:"model" cbor:"model"`
		Version string `yaml:"version" cbor:"version"`
	}

	// Rollout moves the sessions of a model to another version in stages.
	Rollout struct {
		Model   string `yaml:"model" cbor:"model"`
		Version string `yaml:"version" cbor:"version"`
		Intent  `yaml:",inline"`
		Stages  []Stage `yaml:"stages,omitempty" cbor:"stages,omitempty"`
		Guard   Guard   `yaml:"guard,omitempty" cbor:"guard,omitempty"`
	}

	// Stage is one step of a rollout.
	Stage struct {
		// Share is the share of sessions that the version gets, 0 to 1.
		Share float64 `yaml:"share" cbor:"share"`
		// Soak is the minimum duration of the stage.
		Soak time.Duration `yaml:"soak" cbor:"soak"`
		// Budget is the number of requests that may reach the version in
		// this stage before the guard has decided.
		Budget int `yaml:"budget" cbor:"budget"`
	}

	// Guard holds the quality, error and latency limits of a rollout.
	Guard struct {
		// MinQuality is the minimum share of rated answers that pass, 0 to 1.
		MinQuality float64 `yaml:"minQuality,omitempty" cbor:"minQuality,omitempty"`
		// MaxErrors is the maximum share of requests that fail, 0 to 1.
		MaxErrors float64 `yaml:"maxErrors,omitempty" cbor:"maxErrors,omitempty"`
		// FirstToken is the time within which 95 in 100 requests must have
		// their first token.
		FirstToken time.Duration `yaml:"firstToken,omitempty" cbor:"firstToken,omitempty"`
	}

	// Withdrawal takes a version out of use.
	Withdrawal struct {
		Model   string `yaml:"model" cbor:"model"`
		Version string `yaml:"version" cbor:"version"`
		Intent  `yaml:",inline"`
	}

	// Retention says how long the control group keeps its records.
	Retention struct {
		// Claims is how long a used idempotency key is kept.
		Claims time.Duration `yaml:"claims,omitempty" cbor:"claims,omitempty"`
		// Pins is how long a session's pin is kept after its last use.
		Pins time.Duration `yaml:"pins,omitempty" cbor:"pins,omitempty"`
		// Bills is how long single billing records are kept after they were
		// added to the totals.
		Bills time.Duration `yaml:"bills,omitempty" cbor:"bills,omitempty"`
	}
)

// String returns the form "model/version".
func (v VersionRef) String() string { return v.Model + "/" + v.Version }
