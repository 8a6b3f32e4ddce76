// Command cooperative prints the configuration of an example deployment: an
// engravers' cooperative, whose workspaces prefer low cost to low latency.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"foxtailwall/declarer"
)

// Ports of the first replica of the engines and of the shop service. Each further
// replica uses the next port.
const (
	enginePort = 9100
	shopPort   = 9180
)

var zones = []string{"bc-coast-a", "bc-coast-b", "bc-coast-c"}

func main() {
	text, err := declarer.Print(declarer.Join(vancouver(), victoria()))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(string(text))
}

// vancouver returns the declarations of the office that owns the models, services,
// upstreams, rollout and retention.
func vancouver() *declarer.Builder {
	b := declarer.New("vancouver")
	b.Model("draft", "inscription drafts and lettering suggestions at low cost", "v3").
		Version("v3", declarer.Price{InputNanos: 60, OutputNanos: 240}, 0.78).
		Version("v4", declarer.Price{InputNanos: 60, OutputNanos: 240}, 0.82)
	b.Model("proof", "full design proofs from brand guidelines", "v7").
		Version("v7", declarer.Price{InputNanos: 900, OutputNanos: 3600}, 0.95)
	b.Service("shop", "laser time and order status").
		Once("POST", "/laser", 8*time.Second).
		Idempotent("GET", "/laser", 2*time.Second).
		Idempotent("GET", "/orders", 2*time.Second)
	for i := range 18 {
		name := fmt.Sprintf("engraver-%02d", i+1)
		upstream := b.Upstream(name, "engraving model replica", zones[i%3], address(enginePort+i)).Slots(16).Resumes()
		if i < 12 {
			upstream.Serves("draft", "v3").Serves("draft", "v4")
		} else {
			upstream.Serves("proof", "v7").ChecksFencing()
		}
	}
	for i := range 3 {
		b.Upstream(fmt.Sprintf("shop-%d", i+1), "shop application replica", zones[i], address(shopPort+i)).Service("shop")
	}
	b.Rollout("draft", "v4", "fewer misspelt names in trial prints").
		Guard(declarer.Guard{MinQuality: 0.74, MaxErrors: 0.02, FirstToken: 1400 * time.Millisecond})
	b.Retain(declarer.Retention{Claims: 24 * time.Hour, Pins: time.Hour, Bills: 72 * time.Hour})
	return b
}

// victoria returns the declarations of the office that owns the workspaces of the
// member shops.
func victoria() *declarer.Builder {
	b := declarer.New("victoria")
	names := []string{"proofs", "inscriptions", "counter", "gifts", "weddings", "trophies", "signs", "repairs", "training", "office"}
	for i, name := range names {
		share := 1
		if i < 3 {
			share = 4 // Three large workspaces send most of the requests.
		}
		workspace := b.Workspace(name, "member shops, "+name).
			Weigh(declarer.WeighCost).
			Allow("draft").Allow("proof").Call("shop").
			Quality(declarer.KindLong, 0.92).
			Quality(declarer.KindShort, 0.85).
			Quality(declarer.KindChat, 0.75).
			Limits(share, 0, 0).
			Explore(0.02)
		for shop := range 2 {
			member := fmt.Sprintf("%s-shop-%d", name, shop+1)
			// Real API keys are random; the example derives them from the member
			// names so that it can be run without creating keys.
			workspace.Member(member, declarer.KeyDigest("example-key-"+member))
		}
	}
	return b
}

// address returns the loopback address with the port.
func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}
