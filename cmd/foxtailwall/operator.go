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

	// nanosPerUnit is the number of billed nanos in one currency unit.
	nanosPerUnit = 1_000_000_000
)

// operatorFlags returns the flags of the connection to the control group, followed
// by the subcommand's own flags in more.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: flagControl, Usage: "`ADDRESSES` of the control hosts, such as 127.0.0.1:7000, separated by commas",
			Sources: cli.EnvVars("FOXTAILWALL_CONTROL_ADDRS"),
		},
		&cli.StringFlag{Name: flagCert, Usage: "certificate `FILE` of this operator (PEM)", Sources: cli.EnvVars("FOXTAILWALL_PEER_CERT")},
		&cli.StringFlag{Name: flagKey, Usage: "private key `FILE` of this operator (PEM)", Sources: cli.EnvVars("FOXTAILWALL_PEER_KEY")},
		&cli.StringFlag{Name: flagCA, Usage: "`FILE` with the certificate authority of the hosts (PEM)", Sources: cli.EnvVars("FOXTAILWALL_PEER_CA")},
		&cli.BoolFlag{Name: flagInsecure, Usage: "connect without TLS", Sources: cli.EnvVars("FOXTAILWALL_PEER_INSECURE")},
	}, more...)
}

// operatorClient returns the client that the flags of operatorFlags configure.
func operatorClient(c *cli.Command) (*messenger.OperatorClient, error) {
	tlsConf, err := operatorTLS(c)
	if err != nil {
		return nil, err
	}
	client := &messenger.OperatorClient{Clock: timekeeper.System{}}
	for _, text := range c.StringSlice(flagControl) {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, validator.NewSettingError(flagControl, text, "an IP address and a port, such as 127.0.0.1:7000")
		}
		client.Peers = append(client.Peers, messenger.NewPeer(addr, tlsConf))
	}
	if len(client.Peers) == 0 {
		return nil, validator.NewSettingError(flagControl, "", "the address of at least one control host")
	}
	return client, nil
}

// operatorTLS returns the TLS configuration of the client, or nil with
// --peer-insecure.
func operatorTLS(c *cli.Command) (*tls.Config, error) {
	if c.Bool(flagInsecure) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.String(flagCert), c.String(flagKey))
	if err != nil {
		return nil, errors.Wrapf(validator.NewSettingError(flagCert, c.String(flagCert), "a PEM file that matches --"+flagKey+", or --"+flagInsecure), "%v", err)
	}
	text, err := os.ReadFile(c.String(flagCA))
	if err != nil {
		return nil, validator.NewSettingError(flagCA, c.String(flagCA), "a readable PEM file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, validator.NewSettingError(flagCA, c.String(flagCA), "a PEM file with at least one certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: roots, MinVersion: tls.VersionTLS13}, nil
}

// formatMoney formats nanos as a decimal number of currency units.
func formatMoney(nanos int64) string {
	sign := ""
	if nanos < 0 {
		sign, nanos = "-", -nanos
	}
	return fmt.Sprintf("%s%d.%09d", sign, nanos/nanosPerUnit, nanos%nanosPerUnit)
}
