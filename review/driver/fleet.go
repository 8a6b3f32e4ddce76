//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"foxtailwall/reserver"
)

const (
	controls = 3
	memoryMB = 284
	// graceS, contactMs and configApplyMs are the bounds of the sheets.
	graceS = 8
)

type (
	// fleet holds the addresses of a deployment.
	fleet struct {
		Entries  []entry        `json:"entries"`
		Controls []string       `json:"controls"`
		Platform string         `json:"platform"`
		Replicas []replica      `json:"replicas"`
		Config   map[string]any `json:"config"`
	}

	entry struct {
		Name, Front, Ready string
	}
)

var zones = []string{"bc-coast-a", "bc-coast-b", "bc-coast-c"}

// writeFleet chooses free ports and writes the settings of all processes to dir.
func writeFleet(dir string, s scenario) error {
	var ports reserver.Ports
	loopback := netip.MustParseAddr("127.0.0.1")
	var ips []string
	addrs := []netip.Addr{loopback}
	for i := range controls + s.entries {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
		addrs = append(addrs, netip.MustParseAddr(ips[i]))
	}
	var numbers []uint16
	for range 5 + len(s.replicas) {
		n, err := ports.Next(addrs...)
		if err != nil {
			return err
		}
		numbers = append(numbers, n)
	}
	front, ready, operators, peers := numbers[0], numbers[1], numbers[2], numbers[3]
	f := fleet{Platform: fmt.Sprintf("127.0.0.1:%d", numbers[4]), Config: s.config}
	var seeds, hosts, replicas []string
	for i := range controls {
		f.Controls = append(f.Controls, fmt.Sprintf("%s:%d", ips[i], operators))
		seeds = append(seeds, fmt.Sprintf("%q", f.Controls[i]))
	}
	for i, ip := range ips {
		isControl := i < controls
		name, role, zone := fmt.Sprintf("edge-%d", i-controls), "entry", zones[i%len(zones)]
		listen := fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"\n", ip, front, ip, ready)
		class := "machineClass = \"edge\"\nserves = [\"edge\"]\nlossCounts = false\n"
		if isControl {
			name, role = fmt.Sprintf("core-%d", i), "control"
			listen = fmt.Sprintf("control = \"%s:%d\"\n", ip, operators)
			class = fmt.Sprintf("machineClass = \"core\"\nserves = [\"control_plane\"]\nlossCounts = true\ndataDir = %q\n", filepath.Join(dir, name))
		} else {
			f.Entries = append(f.Entries, entry{Name: name, Front: fmt.Sprintf("%s:%d", ip, front), Ready: fmt.Sprintf("%s:%d", ip, ready)})
		}
		text := fmt.Sprintf(settingsText, name, class, ip, zone, peers, peers, strings.Join(seeds, ","), listen, memoryMB, graceS, f.Platform)
		if err := os.WriteFile(filepath.Join(dir, name+".toml"), []byte(text), 0o600); err != nil {
			return err
		}
		hosts = append(hosts, name+" "+role)
	}
	for i, r := range s.replicas {
		r.ID, r.Addr, r.Zone = fmt.Sprintf("i-%d", i), fmt.Sprintf("127.0.0.1:%d", numbers[5+i]), zones[i%len(zones)]
		f.Replicas = append(f.Replicas, r)
		if !r.Inside {
			replicas = append(replicas, r.ID)
		}
	}
	b, err := json.Marshal(f)
	if err != nil {
		return err
	}
	for name, text := range map[string]string{
		"fleet.json": string(b), "hosts": strings.Join(hosts, "\n") + "\n", "replicas": strings.Join(replicas, "\n") + "\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func readFleet(dir string) (fleet, error) {
	var f fleet
	b, err := os.ReadFile(filepath.Join(dir, "fleet.json"))
	if err == nil {
		err = json.Unmarshal(b, &f)
	}
	return f, err
}

const settingsText = `nodeName = %q
%sip = %q
zone = %q
region = "bc-coast"
internalPorts = [%d,%d]
seedNodes = [%s]
bootstrap = true
discovery = "cloud_api"
entryMode = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout"]
configMode = "highest"
[zones]
bc-coast-a = "bc-coast"
bc-coast-b = "bc-coast"
bc-coast-c = "bc-coast"
[listen]
%s[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 3000
graceS = %d
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
skewBoundMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.9
budgetWindowS = 10
retrySlack = 52
canaryShare = 0.15
canarySlack = 30
rollbackMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 7.4
sessionS = 5
[cloudApi]
address = %q
ratePerS = 40.0
duties = []
maxLagMs = 800
`
