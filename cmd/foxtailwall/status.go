package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"foxtailwall/messenger"
)

const usageStatus = `Status prints the state of the deployment as the control group knows it.

For each zone it counts the hosts that use the newest version. It lists hosts
that have not confirmed that version or have no valid lease: such a host may
still use an older version, including a stable version that was withdrawn since.
It stops using versions in rollout when its lease ends.

Zones whose upstreams get no new requests are listed as evacuated.

For each live host it prints the requests that wait there, by workspace and
priority, with the longest wait, and the requests refused since the host
started, by code. Hosts report these every 2 s to the leader of the control group.

For the newest version and each withdrawal it prints whether they are in force,
which hosts have yet to confirm them, and which zones are cut off and may still
use an older version. Only the leader of the control group reports this.

--local reads the state of the first reachable control host without a quorum;
the state may be outdated.

    foxtailwall status
    foxtailwall status --json`

// zoneStatus counts the hosts of one zone and lists those that are not current.
type zoneStatus struct {
	zone  string
	hosts int
	// current counts the live hosts that use the newest version.
	current int
	// notCurrent lists the other hosts.
	notCurrent []messenger.HostStatus
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "print the state of the deployment",
		Description: usageStatus,
		Flags: operatorFlags(
			&cli.BoolFlag{Name: flagLocal, Usage: "read from one control host without a quorum", Sources: cli.EnvVars("FOXTAILWALL_LOCAL")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON", Sources: cli.EnvVars("FOXTAILWALL_JSON")},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := operatorClient(c)
			if err != nil {
				return err
			}
			status, err := client.Status(ctx, c.Bool(flagLocal))
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return json.NewEncoder(c.Root().Writer).Encode(status)
			}
			writeStatus(c.Root().Writer, status)
			return nil
		},
	}
}

func writeStatus(w io.Writer, status *messenger.Status) {
	fmt.Fprintf(w, "version %d, configuration %d\n", status.Version, status.Declared)
	if status.Standing != nil {
		writeVersionStatus(w, *status.Standing)
	}
	for _, p := range status.Progress {
		fmt.Fprintf(w, "rollout %s/%s: %s, stage %d, share %g, spent %d, since %s", p.Model, p.Version, p.State,
			p.Stage, p.Share, p.Spent, p.Since.Format(time.RFC3339))
		if p.Reason != "" {
			fmt.Fprintf(w, " (%s)", p.Reason)
		}
		fmt.Fprintln(w)
	}
	for _, withdrawal := range status.Withdrawals {
		fmt.Fprintf(w, "withdrawn %s/%s by %s: %s\n", withdrawal.Model, withdrawal.Version, withdrawal.Owner, withdrawal.Why)
		for _, standing := range status.Withdrawn {
			if standing.Ref.Model == withdrawal.Model && standing.Ref.Version == withdrawal.Version {
				writeVersionStatus(w, standing.VersionStatus)
			}
		}
	}
	for _, q := range status.Quarantined {
		fmt.Fprintf(w, "quarantined %s\n", q)
	}
	for _, e := range status.Evacuated {
		fmt.Fprintf(w, "evacuated zone %s since %s\n", e.Zone, e.Since.Format(time.RFC3339))
	}
	for _, z := range zoneStatuses(status) {
		fmt.Fprintf(w, "zone %s: %d of %d hosts use version %d\n", z.zone, z.current, z.hosts, status.Version)
		for _, h := range z.notCurrent {
			fmt.Fprintf(w, "  %s: %s, seen %s; it may still use version %d\n", h.Name, liveness(h), lastSeen(h), h.Version)
		}
	}
	for _, h := range status.Hosts {
		writeQueue(w, h)
	}
	fmt.Fprintf(w, "claims %d, pins %d, billing records %d, refused deliveries %d\n", status.Claims, status.Pins, status.Records, status.RefusedBills)
}

// writeQueue prints what waits at a host and what it has refused. It omits hosts that
// are not live, because their queues are unknown.
func writeQueue(w io.Writer, h messenger.HostStatus) {
	if h.Queue == nil || !h.Live {
		return
	}
	left := h.Queue.Requests
	for _, g := range h.Queue.Waiting {
		left -= g.Requests
		fmt.Fprintf(w, "queue of %s: %d of workspace %s with priority %d, the oldest for %s\n", h.Name, g.Requests, g.Workspace, g.Priority, g.Oldest.Round(time.Millisecond))
	}
	if left > 0 {
		fmt.Fprintf(w, "queue of %s: %d more\n", h.Name, left)
	}
	for _, code := range slices.Sorted(maps.Keys(h.Queue.Refused)) {
		fmt.Fprintf(w, "refused by %s since its start: %d %s\n", h.Name, h.Queue.Refused[code], code)
	}
}

// writeVersionStatus prints whether a version is in force, and the hosts and zones
// that have not confirmed it.
func writeVersionStatus(w io.Writer, version messenger.VersionStatus) {
	state := "not in force yet"
	if version.InForce {
		state = "in force"
	}
	fmt.Fprintf(w, "  version %d: %s", version.Version, state)
	if len(version.Pending) > 0 {
		fmt.Fprintf(w, ", waiting for %s", strings.Join(version.Pending, ", "))
	}
	if len(version.CutOff) > 0 {
		fmt.Fprintf(w, "; may still use an older version, cut off: %s", strings.Join(version.CutOff, ", "))
	}
	fmt.Fprintln(w)
}

// zoneStatuses groups the hosts by zone, sorted by zone and host name.
func zoneStatuses(status *messenger.Status) []zoneStatus {
	var zones []zoneStatus
	hosts := slices.SortedFunc(slices.Values(status.Hosts), func(a, b messenger.HostStatus) int {
		if c := strings.Compare(a.Zone, b.Zone); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, h := range hosts {
		if len(zones) == 0 || zones[len(zones)-1].zone != h.Zone {
			zones = append(zones, zoneStatus{zone: h.Zone})
		}
		z := &zones[len(zones)-1]
		z.hosts++
		if h.Live && h.Version >= status.Version {
			z.current++
			continue
		}
		z.notCurrent = append(z.notCurrent, h)
	}
	return zones
}

func liveness(h messenger.HostStatus) string {
	if h.Live {
		return "live"
	}
	return "silent"
}

func lastSeen(h messenger.HostStatus) string {
	if h.Seen.IsZero() {
		return "never"
	}
	return h.Seen.Format(time.RFC3339)
}
