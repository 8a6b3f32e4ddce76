// Package relayer distributes the configuration in force from the control
// group to every host, and the hosts' confirmations and statistics back.
//
// Two hosts of each zone relay for it; they are chosen by rendezvous hashing
// among the zone's live hosts, so that every host computes the same two. The
// relays watch the control leader, and the other hosts watch a relay of their
// zone: first the one that the hash gives them, then the other, then any
// control host. Updates carry only the declarations that changed; a receiver
// whose version is unknown gets the whole view. A host never takes a version
// that is not newer than its own.
//
// Every host confirms its version every RenewEvery and gets a lease in return.
// The lease is granted by the control leader alone and counts from the time
// at which the host sent its request, so that it ends on the host before it
// ends in the leader's Registry. A host that lacks a version gets a lease only
// until LeaseTime after that version was accepted. Relays gather the
// confirmations and reports of their zone and send them once a second.
//
// # Usage
//
// Each host makes one Node and runs it; its Holder is the router's Views.
//
//	n, err := relayer.NewNode(relayer.Options{
//		Host: relayer.Host{Name: "e1", Zone: "z1", Addr: addr}, Control: controlAddrs,
//		Transport: messenger.NewRelayTransport(tlsConfig), Clock: timekeeper.System{}, FS: fs,
//	})
//	messenger.HandleRelay(mux, n)
//	go n.Run(ctx)
//	catalog := n.Holder().Catalog()
//	n.Report(relayer.Report{Model: "engraver", Version: "v2", Requests: 1})
//
// A control host also sets Source, Group and OnReports, and asks the Registry
// of the leader:
//
//	standing := n.Registry().Standing(version, leased)
package relayer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/replicator"
)

const (
	// LeaseTime is how long a lease lasts from the request for it.
	LeaseTime = 8 * time.Second
	// RenewEvery is the interval of the requests.
	RenewEvery = 2 * time.Second
	// leaseSlack is added to a lease in the registry; it exceeds the
	// difference of two monotonic clocks over LeaseTime.
	leaseSlack = 400 * time.Millisecond
	// gatherEvery is the interval at which a relay sends what it gathered.
	gatherEvery = time.Second
)

type (
	// Source is the state machine of a control host.
	Source interface {
		// View returns the newest view. Its lists must not be changed later.
		View() declarer.View
		// Changed returns a channel that is closed at the next change.
		Changed() <-chan struct{}
	}

	// Group is the control group as a control host sees it;
	// *replicator.Group implements it.
	Group interface {
		Leading() (term uint64, ok bool)
		Leased() bool
		Leader() (replicator.Member, bool)
	}

	// Host is a host of the system.
	Host struct {
		Name string         `cbor:"name"`
		Zone string         `cbor:"zone"`
		Addr netip.AddrPort `cbor:"addr"`
		// Control marks a control host, which relays for nobody.
		Control bool `cbor:"control,omitempty"`
	}

	// Report counts what happened to the requests of one version in one
	// zone since the last report. Reports are added up on their way; one
	// that fails on the way is lost and counted as relayer.reportsLost.
	Report struct {
		Model   string `cbor:"model"`
		Version string `cbor:"version"`
		Zone    string `cbor:"zone"`
		// Requests counts the requests sent to the version.
		Requests int64 `cbor:"requests,omitempty"`
		Errors   int64 `cbor:"errors,omitempty"`
		// Rated counts the answers rated, and Passed those that passed.
		Rated  int64 `cbor:"rated,omitempty"`
		Passed int64 `cbor:"passed,omitempty"`
		// LateFirst counts first tokens later than the guard allows.
		LateFirst int64 `cbor:"lateFirst,omitempty"`
	}

	// Confirmation says which version is in force on a host.
	Confirmation struct {
		Host    Host   `cbor:"host"`
		Version uint64 `cbor:"version"`
	}

	// ConfirmRequest carries confirmations and reports towards the leader.
	ConfirmRequest struct {
		Confirmations []Confirmation `cbor:"confirmations,omitempty"`
		Reports       []Report       `cbor:"reports,omitempty"`
		// Hosts is the digest of the host list that the sender has.
		Hosts uint64 `cbor:"hosts,omitempty"`
	}

	// ConfirmResponse answers it.
	ConfirmResponse struct {
		// Leases holds the length of the lease for each confirmation in
		// order; zero grants none.
		Leases []time.Duration `cbor:"leases,omitempty"`
		// Version is the newest version that the answering host knows.
		Version uint64 `cbor:"version"`
		// Hosts lists the live hosts of the senders' zones if the digest in
		// the request is another.
		Hosts []Host `cbor:"hosts,omitempty"`
	}

	// WatchRequest asks for the versions after Version.
	WatchRequest struct {
		Version uint64 `cbor:"version"`
		Digest  uint64 `cbor:"digest"`
	}

	// Update carries a newer view, whole or as a difference.
	Update struct {
		Version uint64         `cbor:"version"`
		Full    *declarer.View `cbor:"full,omitempty"`
		Delta   *Delta         `cbor:"delta,omitempty"`
		// Digest is the digest of the whole new view.
		Digest uint64 `cbor:"digest"`
		// Leader is the control leader as far as the sender knows; only
		// control hosts set it.
		Leader netip.AddrPort `cbor:"leader,omitzero"`
	}

	// Transport reaches the nodes of other hosts. It bounds the time of
	// Confirm and Latest. Confirm returns an *UnsentError when the request
	// certainly did not arrive, and the *LeaderError of a control host.
	Transport interface {
		// Watch calls update for every update until ctx ends, the stream
		// breaks or update returns an error.
		Watch(ctx context.Context, to netip.AddrPort, r *WatchRequest, update func(*Update) error) error
		Confirm(ctx context.Context, to netip.AddrPort, r *ConfirmRequest) (*ConfirmResponse, error)
		// Latest returns the update from the requested version; its Version
		// is not newer if there is none.
		Latest(ctx context.Context, to netip.AddrPort, r *WatchRequest) (*Update, error)
	}

	// BaseError says that a difference does not apply to the view at hand.
	BaseError struct{ Have, Base uint64 }

	// LeaderError says that a control host does not lead, so that it grants
	// no leases.
	LeaderError struct{ Leader netip.AddrPort }

	// UnsentError says that a request did not leave this host.
	UnsentError struct{ Err error }
)

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("update is based on version %d, this host has version %d", e.Base, e.Have)
}

// Error implements error.
func (e *LeaderError) Error() string {
	if !e.Leader.IsValid() {
		return "this host grants no leases and knows no control leader"
	}
	return fmt.Sprintf("this host grants no leases; ask the control leader at %s", e.Leader)
}

// Error implements error.
func (e *UnsentError) Error() string { return "nothing was sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }
