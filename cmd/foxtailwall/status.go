package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"foxtailwall/messenger"
)

const usageStatus = `Status prints what the control group knows of the deployment.

For each zone it counts the hosts that use the newest version. A host that is
behind or silent is named: until it confirms, it may still use an earlier
version, and with it a stable version that was withdrawn. Versions in rollout
stop there when the host's lease ends.

The newest version and each withdrawal are shown with whether they are in
force, the hosts that are waited for, and the zones that are cut off and may
still use an older version. A control host that does not lead leaves this out.

--local takes what the first reachable control host has, without a quorum; it
may be old.

    foxtailwall status
    foxtailwall status --json`

// zoneStatus sums up the hosts of one zone.
type zoneStatus struct {
	zone    string
	hosts   int
	current int
	behind  []messenger.HostStatus
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "print the state of the deployment",
		Description: usageStatus,
		Flags: operatorFlags(
			&cli.BoolFlag{Name: flagLocal, Usage: "do without a quorum", Sources: cli.EnvVars("FOXTAILWALL_LOCAL")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON", Sources: cli.EnvVars("FOXTAILWALL_JSON")},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			op, err := operator(c)
			if err != nil {
				return err
			}
			got, err := op.Status(ctx, c.Bool(flagLocal))
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return json.NewEncoder(c.Root().Writer).Encode(got)
			}
			writeStatus(c.Root().Writer, got)
			return nil
		},
	}
}

func writeStatus(w io.Writer, s *messenger.Status) {
	fmt.Fprintf(w, "version %d, configuration %d\n", s.Version, s.Declared)
	if s.Standing != nil {
		writeStanding(w, *s.Standing)
	}
	for _, p := range s.Progress {
		fmt.Fprintf(w, "rollout %s/%s: %s, stage %d, share %g, spent %d, since %s", p.Model, p.Version, p.State,
			p.Stage, p.Share, p.Spent, p.Since.Format(time.RFC3339))
		if p.Reason != "" {
			fmt.Fprintf(w, " (%s)", p.Reason)
		}
		fmt.Fprintln(w)
	}
	for _, x := range s.Withdrawals {
		fmt.Fprintf(w, "withdrawn %s/%s by %s: %s\n", x.Model, x.Version, x.Owner, x.Why)
		for _, st := range s.Withdrawn {
			if st.Ref.Model == x.Model && st.Ref.Version == x.Version {
				writeStanding(w, st.Standing)
			}
		}
	}
	for _, q := range s.Quarantined {
		fmt.Fprintf(w, "quarantined %s\n", q)
	}
	for _, z := range zonesOf(s) {
		fmt.Fprintf(w, "zone %s: %d of %d hosts use version %d\n", z.zone, z.current, z.hosts, s.Version)
		for _, h := range z.behind {
			fmt.Fprintf(w, "  %s: %s, seen %s; it may still use version %d\n", h.Name, liveness(h), seen(h), h.Version)
		}
	}
	fmt.Fprintf(w, "claims %d, pins %d, billing records %d, refused deliveries %d\n", s.Claims, s.Pins, s.Records, s.RefusedBills)
}

// writeStanding prints how far a version has come into force.
func writeStanding(w io.Writer, s messenger.Standing) {
	state := "not in force yet"
	if s.InForce {
		state = "in force"
	}
	fmt.Fprintf(w, "  version %d: %s", s.Version, state)
	if len(s.Pending) > 0 {
		fmt.Fprintf(w, ", waiting for %s", strings.Join(s.Pending, ", "))
	}
	if len(s.CutOff) > 0 {
		fmt.Fprintf(w, "; may still use an older version, cut off: %s", strings.Join(s.CutOff, ", "))
	}
	fmt.Fprintln(w)
}

// zonesOf sums up the hosts by zone, sorted by name.
func zonesOf(s *messenger.Status) []zoneStatus {
	var out []zoneStatus
	hosts := slices.SortedFunc(slices.Values(s.Hosts), func(a, b messenger.HostStatus) int {
		if c := strings.Compare(a.Zone, b.Zone); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, h := range hosts {
		if len(out) == 0 || out[len(out)-1].zone != h.Zone {
			out = append(out, zoneStatus{zone: h.Zone})
		}
		z := &out[len(out)-1]
		z.hosts++
		if h.Live && h.Version >= s.Version {
			z.current++
			continue
		}
		z.behind = append(z.behind, h)
	}
	return out
}

func liveness(h messenger.HostStatus) string {
	if h.Live {
		return "live"
	}
	return "silent"
}

func seen(h messenger.HostStatus) string {
	if h.Seen.IsZero() {
		return "never"
	}
	return h.Seen.Format(time.RFC3339)
}
