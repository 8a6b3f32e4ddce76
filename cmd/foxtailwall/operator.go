package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"foxtailwall/messenger"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const (
	flagControl  = "control-addrs"
	flagCert     = "peer-cert"
	flagKey      = "peer-key"
	flagCA       = "peer-ca"
	flagInsecure = "peer-insecure"
	flagJSON     = "json"
	flagLocal    = "local"

	// nanosPerUnit is the number of billed nanos in one unit of the currency.
	nanosPerUnit = 1_000_000_000
)

// operatorFlags are the flags of the subcommands that ask the control group.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: flagControl, Usage: "`ADDRESSES` of the control hosts, such as 127.0.0.1:7000, separated by commas",
			Sources: cli.EnvVars("FOXTAILWALL_CONTROL_ADDRS"),
		},
		&cli.StringFlag{Name: flagCert, Usage: "certificate `FILE` of this operator (PEM)", Sources: cli.EnvVars("FOXTAILWALL_PEER_CERT")},
		&cli.StringFlag{Name: flagKey, Usage: "private key `FILE` of this operator (PEM)", Sources: cli.EnvVars("FOXTAILWALL_PEER_KEY")},
		&cli.StringFlag{Name: flagCA, Usage: "`FILE` with the certificate authority of the hosts (PEM)", Sources: cli.EnvVars("FOXTAILWALL_PEER_CA")},
		&cli.BoolFlag{Name: flagInsecure, Usage: "go without TLS", Sources: cli.EnvVars("FOXTAILWALL_PEER_INSECURE")},
	}, more...)
}

// operator returns the client that the flags describe.
func operator(c *cli.Command) (*messenger.Operator, error) {
	conf, err := operatorTLS(c)
	if err != nil {
		return nil, err
	}
	out := &messenger.Operator{Clock: timekeeper.System{}}
	for _, text := range c.StringSlice(flagControl) {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, validator.Wrong(flagControl, text, "an IP address and a port, such as 127.0.0.1:7000")
		}
		out.Peers = append(out.Peers, messenger.NewPeer(addr, conf))
	}
	if len(out.Peers) == 0 {
		return nil, validator.Wrong(flagControl, "", "the address of at least one control host")
	}
	return out, nil
}

func operatorTLS(c *cli.Command) (*tls.Config, error) {
	if c.Bool(flagInsecure) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.String(flagCert), c.String(flagKey))
	if err != nil {
		return nil, errors.Wrapf(validator.Wrong(flagCert, c.String(flagCert), "a PEM file that fits --"+flagKey+", or --"+flagInsecure), "%v", err)
	}
	text, err := os.ReadFile(c.String(flagCA))
	if err != nil {
		return nil, validator.Wrong(flagCA, c.String(flagCA), "a readable PEM file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, validator.Wrong(flagCA, c.String(flagCA), "a PEM file with at least one certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: roots, MinVersion: tls.VersionTLS13}, nil
}

// money prints nanos as units of the currency.
func money(nanos int64) string {
	sign := ""
	if nanos < 0 {
		sign, nanos = "-", -nanos
	}
	return fmt.Sprintf("%s%d.%09d", sign, nanos/nanosPerUnit, nanos%nanosPerUnit)
}
