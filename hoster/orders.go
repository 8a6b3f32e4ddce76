package hoster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/controller"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/orderer"
	"foxtailwall/timekeeper"
)

const (
	// orderInterval is the time between two rounds of orders.
	orderInterval = time.Second
	// ownershipLease is how long the owner of the engines may send orders
	// without renewing.
	ownershipLease = 8 * time.Second
	// orderTimeout bounds one call to an engine.
	orderTimeout = 2 * time.Second
	// maxOrderCalls bounds the concurrent calls to engines.
	maxOrderCalls = 8
	// ownershipKey is the key in the replicated log under which one host owns
	// all engines.
	ownershipKey = "engines"
	// maxOrderResponse bounds an engine's response body, in bytes.
	maxOrderResponse = 1 << 20

	stateLoaded    = "ready"
	stateLoading   = "loading"
	stateUnloading = "unloading"
)

type (
	// loadManager orders the engines to load the versions that the configuration
	// declares for them, while this host leads the control group.
	loadManager struct {
		name          string
		view          func() declarer.View
		leading       func() (uint64, bool)
		propose       func(context.Context, controller.Item) (controller.Answer, error)
		client        *http.Client
		scheme        string
		clock         timekeeper.Clock
		scope         counter.Scope
		log           zerolog.Logger
		orders        *orderer.Orderer
		ownerToken    uint64
		targetVersion uint64
	}

	// engineState is an engine's response to GET /orders.
	engineState struct {
		Incarnation uint64 `json:"incarnation"`
		Fence       uint64 `json:"fence"`
		Loads       []struct {
			Model   string `json:"model"`
			Version string `json:"version"`
			State   string `json:"state"`
		} `json:"loads"`
	}

	// engineOrder is the body of POST /orders.
	engineOrder struct {
		Fence uint64 `json:"fence"`
		// Deadline is the time left to carry out the order, in milliseconds.
		Deadline int64  `json:"deadline"`
		Action   string `json:"action"`
		Model    string `json:"model"`
		Version  string `json:"version"`
	}
)

func (h *Host) newLoadManager(c *controlMember) *loadManager {
	return &loadManager{
		name: h.settings.Name, view: c.machine.View, leading: c.group.Leading,
		propose: func(ctx context.Context, it controller.Item) (controller.Answer, error) { return h.client.Do(ctx, it) },
		client:  h.reportClient(), scheme: h.upstreamScheme(), clock: h.clock, scope: h.scope, log: h.log,
		orders: orderer.New(orderer.Settings{Clock: h.clock, Lease: ownershipLease}),
	}
}

// run sends orders until ctx ends.
func (m *loadManager) run(ctx context.Context) error {
	for {
		if err := timekeeper.Sleep(ctx, m.clock, orderInterval); err != nil {
			return err
		}
		if _, ok := m.leading(); ok && m.acquireOwnership(ctx) {
			m.updateTargets()
			m.readEngineStates(ctx)
			m.sendDueOrders(ctx)
		}
	}
}

// acquireOwnership acquires or renews the ownership of the engines and reports
// whether this host has it. The lease starts here when the request is sent, so
// that it ends here before it ends in the replicated log.
func (m *loadManager) acquireOwnership(ctx context.Context) bool {
	sent := m.clock.Now()
	answer, err := m.propose(ctx, controller.Item{Own: &controller.OwnRequest{Engine: ownershipKey, Owner: m.name, Lease: ownershipLease}})
	if err != nil || answer.Own == nil || !answer.Own.Granted {
		return m.orders.Owns()
	}
	end := sent.Add(ownershipLease)
	if answer.Own.Token == m.ownerToken {
		m.orders.Renew(m.ownerToken, end)
		return true
	}
	m.orders.StartOwnership(answer.Own.Token, end, !answer.Own.First)
	m.ownerToken = answer.Own.Token
	m.log.Info().Uint64("token", m.ownerToken).Msg("acquired the ownership of the engines")
	return true
}

// updateTargets passes the engines of a new configuration to the orderer. Each
// engine is a zone of its own there, so that it loads exactly the versions that
// are declared for it.
func (m *loadManager) updateTargets() {
	v := m.view()
	if v.Version == m.targetVersion {
		return
	}
	m.targetVersion = v.Version
	var engines []orderer.Engine
	var wants []orderer.Want
	for _, u := range v.Config.Upstreams {
		if len(u.Serves) == 0 {
			continue
		}
		engines = append(engines, orderer.Engine{
			Address: u.Address, Zone: u.Name, Capacity: len(u.Serves), ChecksFencing: u.ChecksFencing,
		})
		for _, ref := range u.Serves {
			wants = append(wants, orderer.Want{Zone: u.Name, Ref: ref, Engines: 1})
		}
	}
	m.orders.SetEngines(engines)
	m.orders.SetWants(wants)
}

// readEngineStates reads the state of the engines whose state is unknown or outdated.
func (m *loadManager) readEngineStates(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(maxOrderCalls)
	defer calls.Wait()
	for _, addr := range m.orders.EnginesToRead() {
		calls.Go(func() {
			var s engineState
			if _, err := m.callEngine(ctx, addr, http.MethodGet, nil, &s); err != nil {
				m.scope.Counter("orders.readsFailed").Inc(1)
				return
			}
			m.orders.Observe(addr, s.toOrdererState())
		})
	}
}

// sendDueOrders sends the orders that are due, up to maxOrderCalls at a time, and
// passes the results to the orderer.
func (m *loadManager) sendDueOrders(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(maxOrderCalls)
	defer calls.Wait()
	for _, o := range m.orders.Next() {
		calls.Go(func() {
			result := m.sendOrder(ctx, o)
			m.orders.RecordResult(o, result)
			m.scope.Counter("orders.sent", "action", string(o.Action)).Inc(1)
			m.log.Info().Stringer("engine", o.Address).Str("action", string(o.Action)).Stringer("version", o.Ref).
				Bool("accepted", result == orderer.Accepted).Msg("order to engine")
		})
	}
}

// sendOrder sends one order. After o.SendBy it sends nothing and returns
// orderer.Refused, because the ownership lease has ended.
func (m *loadManager) sendOrder(ctx context.Context, o orderer.Order) orderer.Result {
	now := m.clock.Now()
	if !now.Before(o.SendBy) {
		return orderer.Refused
	}
	status, err := m.callEngine(ctx, o.Address, http.MethodPost, engineOrder{
		Fence: o.Fence, Deadline: o.Deadline.Sub(now).Milliseconds(),
		Action: string(o.Action), Model: o.Ref.Model, Version: o.Ref.Version,
	}, nil)
	switch {
	case err != nil:
		return orderer.Lost
	case status >= http.StatusMultipleChoices:
		return orderer.Refused
	}
	return orderer.Accepted
}

// callEngine sends in as JSON to /orders of an engine, decodes the response into
// out and returns the HTTP status. Both in and out may be nil.
func (m *loadManager) callEngine(ctx context.Context, addr netip.AddrPort, method string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, errors.Wrap(err, "encode an order")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, m.scheme+"://"+addr.String()+"/orders", body)
	if err != nil {
		return 0, errors.Wrap(err, "create the request to the engine")
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "call engine %s", addr)
	}
	defer resp.Body.Close()
	if out == nil || resp.StatusCode >= http.StatusMultipleChoices {
		return resp.StatusCode, nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxOrderResponse)).Decode(out)
	return resp.StatusCode, errors.Wrapf(err, "decode the state of engine %s", addr)
}

func (s engineState) toOrdererState() orderer.State {
	out := orderer.State{Incarnation: s.Incarnation, Fence: s.Fence}
	for _, l := range s.Loads {
		ref := declarer.VersionRef{Model: l.Model, Version: l.Version}
		switch l.State {
		case stateLoaded:
			out.Loaded = append(out.Loaded, ref)
		case stateLoading:
			out.Loading = append(out.Loading, ref)
		case stateUnloading:
			out.Unloading = append(out.Unloading, ref)
		}
	}
	return out
}
