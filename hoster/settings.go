package hoster

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"foxtailwall/accepter"
	"foxtailwall/validator"
)

const (
	// DefaultDrain bounds a graceful shutdown if Drain is not set.
	DefaultDrain = 60 * time.Second
	// DefaultGrace is the time for which a host that shuts down reports that it
	// is not ready and still accepts connections, if Grace is not set.
	DefaultGrace = 5 * time.Second
	// minSessionKeyBytes is the minimum size of a session key in bytes. Shorter
	// keys weaken HMAC with SHA-256.
	minSessionKeyBytes = 32
)

type (
	// Settings are the settings of one host. Each is a flag and an
	// environment variable of the serve subcommand.
	Settings struct {
		// Name is the host's name, unique in the deployment.
		Name string
		// Zone is the host's availability zone.
		Zone string
		// Entry makes the host serve callers' requests.
		Entry bool
		// Hosts lists the deployment's hosts, this one included.
		Hosts []Spec
		// Control names the hosts that form the control group.
		Control []string
		// Callers, Operators and Peers are the addresses to listen on.
		// Callers and Operators are unused on a host without the entry role.
		Callers, Operators, Peers netip.AddrPort
		// DataFolder is where a host with a disk stores its files. Members of
		// the control group need one.
		DataFolder string
		// Platform and Rater are the addresses of the platform's host list
		// and of the rating service. Without them the list is empty and
		// answers are not rated.
		Platform, Rater netip.AddrPort
		// SessionKeys are the HMAC keys of session tokens. The first signs, all
		// verify.
		SessionKeys [][]byte
		// OperatorKeys authorize requests to the operators' port.
		OperatorKeys []string
		// CallerTLS, PeerTLS and UpstreamTLS are the TLS files for connections
		// from callers, between hosts and to upstreams.
		CallerTLS, PeerTLS, UpstreamTLS TLSFiles
		// Drain bounds a graceful shutdown, in which only requests are taken whose
		// deadline passes before its end. Grace is its first part, in which the
		// readiness check fails and connections are still accepted, so that load
		// balancers stop sending requests in time.
		Drain, Grace time.Duration
		// Limits bound what callers that exceed the documented limits can use.
		Limits accepter.Settings
	}

	// Spec describes one host of the deployment.
	Spec struct {
		Name, Zone string
		// Addr is the address of the host's port for other hosts and operators'
		// commands.
		Addr netip.AddrPort
		// Disk says that the host has a data folder.
		Disk bool
	}

	// TLSFiles are the PEM files of one kind of connection. Insecure turns TLS
	// off and must be set explicitly.
	TLSFiles struct {
		Cert, Key, CA string
		Insecure      bool
	}
)

// ParseSpec parses a host in the form "name@zone=ip:port", with "+disk" at the
// end for a host with a data folder. Errors are of type *validator.SettingError.
func ParseSpec(text string) (Spec, error) {
	fail := validator.NewSettingError("hosts", text, "name@zone=ip:port, followed by +disk for a host with a data folder")
	rest, disk := strings.CutSuffix(text, "+disk")
	id, addr, ok := strings.Cut(rest, "=")
	if !ok {
		return Spec{}, fail
	}
	name, zone, ok := strings.Cut(id, "@")
	if !ok || name == "" || zone == "" {
		return Spec{}, fail
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return Spec{}, fail
	}
	return Spec{Name: name, Zone: zone, Addr: ap, Disk: disk}, nil
}

// String returns the form that ParseSpec parses.
func (s Spec) String() string {
	text := fmt.Sprintf("%s@%s=%s", s.Name, s.Zone, s.Addr)
	if s.Disk {
		text += "+disk"
	}
	return text
}

// IsControl reports whether the host is a member of the control group.
func (s *Settings) IsControl() bool { return s.isControl(s.Name) }

func (s *Settings) isControl(name string) bool { return slices.Contains(s.Control, name) }

// Spec returns the host with that name.
func (s *Settings) Spec(name string) (Spec, bool) {
	i := slices.IndexFunc(s.Hosts, func(h Spec) bool { return h.Name == name })
	if i < 0 {
		return Spec{}, false
	}
	return s.Hosts[i], true
}

// Validate checks the settings, sets Drain and Grace to their defaults if they
// are zero, and returns the first fault as a *validator.SettingError.
func (s *Settings) Validate() error {
	for _, check := range []func() error{s.validateNames, s.validateControl, s.validateAddresses, s.validateTLS, s.validateKeys, s.Limits.Check} {
		if err := check(); err != nil {
			return err
		}
	}
	if s.Drain == 0 {
		s.Drain = DefaultDrain
	}
	if s.Grace == 0 {
		s.Grace = DefaultGrace
	}
	if s.Drain < 0 {
		return validator.NewSettingError("drain", s.Drain.String(), "a time above zero, such as 60s")
	}
	if s.Grace < 0 || s.Grace >= s.Drain {
		return validator.NewSettingError("grace", s.Grace.String(), "a time above zero and below drain, which is "+s.Drain.String())
	}
	return nil
}

func (s *Settings) validateNames() error {
	seen := map[string]bool{}
	for _, h := range s.Hosts {
		if seen[h.Name] {
			return validator.NewSettingError("hosts", h.Name, "each host once")
		}
		seen[h.Name] = true
	}
	own, ok := s.Spec(s.Name)
	if !ok {
		return validator.NewSettingError("name", s.Name, "a name that is listed in hosts")
	}
	if own.Zone != s.Zone {
		return validator.NewSettingError("zone", s.Zone, fmt.Sprintf("%q, the zone of %s in hosts", own.Zone, s.Name))
	}
	return nil
}

func (s *Settings) validateControl() error {
	if len(s.Control)%2 == 0 {
		return validator.NewSettingError("control", strings.Join(s.Control, ","), "an odd number of hosts, 3 for three zones")
	}
	for _, name := range s.Control {
		if _, ok := s.Spec(name); !ok {
			return validator.NewSettingError("control", name, "names that are listed in hosts")
		}
	}
	if s.IsControl() && s.DataFolder == "" {
		return validator.NewSettingError("data-folder", "", "a folder on a disk, since this host is a member of the control group")
	}
	if !s.IsControl() && !s.Entry {
		return validator.NewSettingError("entry", "false", "true on a host that is not a member of the control group")
	}
	return nil
}

func (s *Settings) validateAddresses() error {
	addrs := map[string]netip.AddrPort{"peers": s.Peers}
	if s.Entry {
		addrs["callers"], addrs["operators"] = s.Callers, s.Operators
	}
	for _, name := range []string{"peers", "callers", "operators"} {
		if a, ok := addrs[name]; ok && !a.IsValid() {
			return validator.NewSettingError(name, "", "an IP address and a port to listen on, such as 127.0.0.1:7000")
		}
	}
	return nil
}

func (s *Settings) validateTLS() error {
	for _, side := range []struct {
		name   string
		files  TLSFiles
		needCA bool
	}{{"caller", s.CallerTLS, false}, {"peer", s.PeerTLS, true}, {"upstream", s.UpstreamTLS, true}} {
		if side.files.Insecure || (side.name == "caller" && !s.Entry) {
			continue
		}
		files := map[string]string{"cert": side.files.Cert, "key": side.files.Key}
		if side.needCA {
			files["ca"] = side.files.CA
		}
		for _, part := range []string{"cert", "key", "ca"} {
			path, ok := files[part]
			if !ok {
				continue
			}
			if _, err := os.Stat(path); err != nil {
				return validator.NewSettingError(side.name+"-"+part, path,
					fmt.Sprintf("a readable PEM file, or --%s-insecure to go without TLS", side.name))
			}
		}
	}
	return nil
}

func (s *Settings) validateKeys() error {
	if !s.Entry {
		return nil
	}
	if len(s.SessionKeys) == 0 {
		return validator.NewSettingError("session-keys", "", "a file with one key of at least 32 bytes in hexadecimal on each line, the same on all hosts")
	}
	for _, k := range s.SessionKeys {
		if len(k) < minSessionKeyBytes {
			return validator.NewSettingError("session-keys", fmt.Sprintf("%d bytes", len(k)), "keys of at least 32 bytes in hexadecimal")
		}
	}
	if len(s.OperatorKeys) == 0 {
		return validator.NewSettingError("operator-keys", "", "a file with one operator key on each line")
	}
	return nil
}
