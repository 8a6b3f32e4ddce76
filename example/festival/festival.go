// Command festival prints the configuration of an example deployment: the desks of
// a chalk festival, whose workspaces prefer low latency to low cost.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"foxtailwall/declarer"
)

// Ports of the first replica of the engines and of the booking service. Each
// further replica uses the next port.
const (
	helperPort  = 9200
	bookingPort = 9280
)

var zones = []string{"plovdiv-a", "plovdiv-b", "plovdiv-c"}

func main() {
	text, err := declarer.Print(declarer.Join(center(), kapana()))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(string(text))
}

// center returns the declarations of the office that owns the models, services,
// upstreams and retention.
func center() *declarer.Builder {
	b := declarer.New("center")
	b.Model("quick", "replies and square descriptions in a hurry", "v2").
		Version("v2", declarer.Price{InputNanos: 80, OutputNanos: 300}, 0.84)
	b.Model("judge", "portfolios against the rulebook", "v5").
		Version("v5", declarer.Price{InputNanos: 700, OutputNanos: 2800}, 0.94).
		CutOff(declarer.CutOffServe)
	b.Service("booking", "pavement squares").
		Once("POST", "/squares", 5*time.Second).
		Idempotent("GET", "/squares", 2*time.Second)
	for i := range 9 {
		upstream := b.Upstream(fmt.Sprintf("helper-%d", i+1), "model helper replica", zones[i%3], address(helperPort+i)).Slots(16).Resumes()
		if i < 6 {
			upstream.Serves("quick", "v2")
		} else {
			upstream.Serves("judge", "v5")
		}
	}
	for i := range 3 {
		b.Upstream(fmt.Sprintf("booking-%d", i+1), "booking application replica", zones[i], address(bookingPort+i)).Service("booking")
	}
	b.Retain(declarer.Retention{Claims: 24 * time.Hour, Pins: time.Hour, Bills: 72 * time.Hour})
	return b
}

// kapana returns the declarations of the office that owns the workspaces of the
// volunteers.
func kapana() *declarer.Builder {
	b := declarer.New("kapana")
	names := []string{"jury", "artists", "map", "children", "press", "sponsors", "stewards", "schools", "archive", "office"}
	for i, name := range names {
		share := 1
		if i < 3 {
			share = 4 // Three large workspaces send most of the requests.
		}
		workspace := b.Workspace(name, "festival desk, "+name).
			Weigh(declarer.WeighLatency).
			Allow("quick").Allow("judge").Call("booking").
			Quality(declarer.KindLong, 0.9).
			Quality(declarer.KindShort, 0.8).
			Quality(declarer.KindChat, 0.8).
			Limits(share, 0, 0).
			Deadline(20 * time.Second).
			Explore(0.02).
			AcceptRepin()
		member := name + "-desk"
		// Real API keys are random; the example derives them from the member
		// names so that it can be run without creating keys.
		workspace.Member(member, declarer.KeyDigest("example-key-"+member))
	}
	return b
}

// address returns the loopback address with the port.
func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}
