package main

import (
	"crypto/x509"
	"net/netip"
	"os"

	"foxtailwall/validator"
)

// parseAddress parses an address of the form IP:PORT. The error names the flag.
func parseAddress(name, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return a, validator.NewSettingError(name, value, "IP:PORT, for example 127.0.0.1:9000")
	}
	return a, nil
}

// parseAddresses parses addresses of the form IP:PORT. An empty list is an error.
func parseAddresses(name string, values []string) ([]netip.AddrPort, error) {
	if len(values) == 0 {
		return nil, validator.NewSettingError(name, "", "at least one IP:PORT")
	}
	out := make([]netip.AddrPort, len(values))
	for i, s := range values {
		a, err := parseAddress(name, s)
		if err != nil {
			return nil, err
		}
		out[i] = a
	}
	return out, nil
}

// readCertificates reads a file with PEM certificates. The error names the flag.
func readCertificates(name, path string) (*x509.CertPool, error) {
	b, err := os.ReadFile(path)
	pool := x509.NewCertPool()
	if err != nil || !pool.AppendCertsFromPEM(b) {
		return nil, validator.NewSettingError(name, path, "a readable file with PEM certificates")
	}
	return pool, nil
}
