package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"foxtailwall/accepter"
	"foxtailwall/hoster"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const usageServe = `Serve runs one host until it receives SIGINT or SIGTERM, and then drains: it
reports itself as not ready, takes only requests whose deadline passes 5 s before
--drain is over, stops accepting connections after --grace, and exits when the
running requests have been answered completely or --drain has passed.

Every host gets the same list of hosts and of control group members. A host
with --entry serves callers; a host named in --control votes in the control
group and needs a data folder on a disk. A host may do both.

Three zones with one host each:

    foxtailwall serve --name a1 --zone a --entry --data-folder /var/lib/foxtailwall \
      --hosts a1@a=10.0.0.1:7000+disk --hosts b1@b=10.0.1.1:7000+disk --hosts c1@c=10.0.2.1:7000+disk \
      --control a1 --control b1 --control c1 \
      --callers 10.0.0.1:8443 --operators 10.0.0.1:8444 --peers 10.0.0.1:7000 \
      --session-keys session.keys --operator-keys operator.keys \
      --caller-cert caller.pem --caller-key caller.key \
      --peer-cert peer.pem --peer-key peer.key --peer-ca ca.pem \
      --upstream-cert peer.pem --upstream-key peer.key --upstream-ca ca.pem

Connections with callers, peers and upstreams use TLS unless the --...-insecure
flag of that side is set. Each flag can also be set by an environment variable:
FOXTAILWALL_ and the flag's name in capitals with underscores.`

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "FOXTAILWALL_"

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run one host",
		Description: usageServe,
		Flags:       serveFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := serveSettings(c)
			if err != nil {
				return err
			}
			log := zerolog.New(os.Stderr).With().Timestamp().Str("host", settings.Name).Str("zone", settings.Zone).Logger()
			host, err := hoster.New(settings, hoster.Options{Clock: timekeeper.System{}, Log: log})
			if err != nil {
				return err
			}
			return host.Run(ctx)
		},
	}
}

func serveFlags() []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "name", Usage: "name of this host, one of --hosts", Sources: env("name")},
		&cli.StringFlag{Name: "zone", Usage: "availability zone of this host", Sources: env("zone")},
		&cli.BoolFlag{Name: "entry", Usage: "serve callers", Sources: env("entry")},
		&cli.StringSliceFlag{Name: "hosts", Usage: "hosts of the deployment as name@zone=ip:port[+disk]", Sources: env("hosts")},
		&cli.StringSliceFlag{Name: "control", Usage: "names of the hosts that form the control group", Sources: env("control")},
		&cli.StringFlag{Name: "callers", Usage: "address for callers, ip:port", Sources: env("callers")},
		&cli.StringFlag{Name: "operators", Usage: "address for operators, ip:port", Sources: env("operators")},
		&cli.StringFlag{Name: "peers", Usage: "address for the other hosts and the operator subcommands, ip:port", Sources: env("peers")},
		&cli.StringFlag{Name: "data-folder", Usage: "folder on a disk for all files of the host", Sources: env("data-folder")},
		&cli.StringFlag{Name: "platform", Usage: "address of the platform's host list, ip:port", Sources: env("platform")},
		&cli.StringFlag{Name: "rater", Usage: "address of the rating service, ip:port", Sources: env("rater")},
		&cli.StringFlag{Name: "session-keys", Usage: "file with session keys in hexadecimal, one per line; the first signs, all verify", Sources: env("session-keys")},
		&cli.StringFlag{Name: "operator-keys", Usage: "file with the keys of operators, one per line", Sources: env("operator-keys")},
		&cli.DurationFlag{Name: "drain", Usage: "time that a graceful shutdown allows for running requests", Value: hoster.DefaultDrain, Sources: env("drain")},
		&cli.DurationFlag{Name: "grace", Usage: "part of the drain time in which the host is not ready but still accepts connections", Value: hoster.DefaultGrace, Sources: env("grace")},
		&cli.Int64Flag{Name: "memory", Usage: "memory limit of the process in MiB, from which the limits on requests and connections follow; 0 for none", Sources: env("memory")},
		&cli.IntFlag{Name: "descriptors", Usage: "limit on the descriptors of the process, from which those on connections and requests follow; 0 for that of the system", Sources: env("descriptors")},
		&cli.IntFlag{Name: "max-connections", Usage: "open connections of callers, at most; 0 for half of the descriptors, as far as a quarter of the memory has room for 16 KiB each", Sources: env("max-connections")},
		&cli.IntFlag{Name: "max-requests", Usage: "requests that were received and are running, at most; 0 for 15% of the descriptors", Sources: env("max-requests")},
		&cli.Int64Flag{Name: "request-memory", Usage: "memory in MiB for the headers, bodies and large responses of all requests; 0 for a quarter of the memory, or 256 MiB", Sources: env("request-memory")},
		&cli.IntFlag{Name: "max-header-fields", Usage: "fields of a header, at most, counted without TLS; 0 for 4096", Sources: env("max-header-fields")},
		&cli.DurationFlag{Name: "write-timeout", Usage: "time within which a caller must take 64 KiB of a response, or all of a shorter part", Value: accepter.DefaultWriteTimeout, Sources: env("write-timeout")},
	}
	for _, side := range []string{"caller", "peer", "upstream"} {
		flags = append(flags, tlsFlags(side)...)
	}
	return flags
}

func tlsFlags(side string) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: side + "-cert", Usage: "PEM certificate for the " + side + " side", Sources: env(side + "-cert")},
		&cli.StringFlag{Name: side + "-key", Usage: "PEM private key for the " + side + " side", Sources: env(side + "-key")},
		&cli.StringFlag{Name: side + "-ca", Usage: "PEM certificates that the " + side + " side trusts", Sources: env(side + "-ca")},
		&cli.BoolFlag{Name: side + "-insecure", Usage: "use no TLS on the " + side + " side", Sources: env(side + "-insecure")},
	}
}

// env returns the environment variable that sets the flag: envPrefix and the
// flag's name in capitals with underscores.
func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// serveSettings builds the settings of the host from the flags and the key files
// that they name.
func serveSettings(c *cli.Command) (hoster.Settings, error) {
	settings := hoster.Settings{
		Name: c.String("name"), Zone: c.String("zone"), Entry: c.Bool("entry"),
		Control: c.StringSlice("control"), DataFolder: c.String("data-folder"), Drain: c.Duration("drain"), Grace: c.Duration("grace"),
		Limits: accepter.Settings{
			ProcessMemory: c.Int64("memory") << 20, Descriptors: c.Int("descriptors"), Connections: c.Int("max-connections"),
			Requests: c.Int("max-requests"), RequestMemory: c.Int64("request-memory") << 20, HeaderFields: c.Int("max-header-fields"),
			WriteTimeout: c.Duration("write-timeout"),
		},
		CallerTLS: tlsFiles(c, "caller"), PeerTLS: tlsFiles(c, "peer"), UpstreamTLS: tlsFiles(c, "upstream"),
	}
	for _, text := range c.StringSlice("hosts") {
		spec, err := hoster.ParseSpec(text)
		if err != nil {
			return settings, err
		}
		settings.Hosts = append(settings.Hosts, spec)
	}
	for name, target := range map[string]*netip.AddrPort{
		"callers": &settings.Callers, "operators": &settings.Operators, "peers": &settings.Peers, "platform": &settings.Platform, "rater": &settings.Rater,
	} {
		if err := parseAddressFlag(c, name, target); err != nil {
			return settings, err
		}
	}
	return settings, readKeyFiles(c, &settings)
}

func tlsFiles(c *cli.Command, side string) hoster.TLSFiles {
	return hoster.TLSFiles{
		Cert: c.String(side + "-cert"), Key: c.String(side + "-key"), CA: c.String(side + "-ca"),
		Insecure: c.Bool(side + "-insecure"),
	}
}

// parseAddressFlag sets target to the address in the flag, if the flag is set.
func parseAddressFlag(c *cli.Command, name string, target *netip.AddrPort) error {
	text := c.String(name)
	if text == "" {
		return nil
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return &validator.SettingError{Setting: name, Value: text, Allowed: "an IP address and a port, such as 127.0.0.1:7000"}
	}
	*target = addr
	return nil
}

// readKeyFiles reads the files of --session-keys and --operator-keys into settings.
func readKeyFiles(c *cli.Command, settings *hoster.Settings) error {
	lines, err := readLines(c, "session-keys")
	if err != nil {
		return err
	}
	for i, line := range lines {
		key, err := hex.DecodeString(line)
		if err != nil {
			return &validator.SettingError{Setting: "session-keys", Value: "line " + strconv.Itoa(i+1), Allowed: "keys in hexadecimal, one per line"}
		}
		settings.SessionKeys = append(settings.SessionKeys, key)
	}
	settings.OperatorKeys, err = readLines(c, "operator-keys")
	return err
}

// readLines returns the lines of the file that the flag names, trimmed and
// without empty lines. It returns none if the flag is unset.
func readLines(c *cli.Command, flag string) ([]string, error) {
	path := c.String(flag)
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &validator.SettingError{Setting: flag, Value: path, Allowed: "a readable file"}
	}
	var lines []string
	for scanner := bufio.NewScanner(bytes.NewReader(text)); scanner.Scan(); {
		if line := strings.TrimSpace(scanner.Text()); line != "" {
			lines = append(lines, line)
		}
	}
	return lines, nil
}
