package hoster_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/hoster"
	"foxtailwall/validator"
)

func TestHoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hoster")
}

func settings() hoster.Settings {
	addr := netip.MustParseAddrPort("127.0.0.1:7000")
	insecure := hoster.TLSFiles{Insecure: true}
	return hoster.Settings{
		Name: "a1", Zone: "a", Entry: true, DataFolder: "data",
		Hosts:   []hoster.Spec{{Name: "a1", Zone: "a", Addr: addr, Disk: true}},
		Control: []string{"a1"},
		Callers: addr, Operators: addr, Peers: addr,
		SessionKeys:  [][]byte{make([]byte, 32)},
		OperatorKeys: []string{"operator"},
		CallerTLS:    insecure, PeerTLS: insecure, UpstreamTLS: insecure,
	}
}

var _ = Describe("Settings", func() {
	It("accepts a host with both the entry and the control role", func() {
		s := settings()
		Expect(s.Validate()).To(Succeed())
		Expect(s.Drain).To(Equal(hoster.DefaultDrain))
	})

	// Guards against a host that starts with settings that break its
	// guarantees, such as a control member without a disk or a port without TLS
	// that was not turned off explicitly.
	DescribeTable("reports which setting is invalid", func(change func(*hoster.Settings), setting string) {
		s := settings()
		change(&s)
		var wrong *validator.SettingError
		Expect(errors.As(s.Validate(), &wrong)).To(BeTrue())
		Expect(wrong.Setting).To(Equal(setting))
		Expect(wrong.Allowed).NotTo(BeEmpty())
	},
		Entry("name that is not in hosts", func(s *hoster.Settings) { s.Name = "x" }, "name"),
		Entry("zone that differs from hosts", func(s *hoster.Settings) { s.Zone = "b" }, "zone"),
		Entry("even number of control hosts", func(s *hoster.Settings) { s.Control = nil }, "control"),
		Entry("control host without a data folder", func(s *hoster.Settings) { s.DataFolder = "" }, "data-folder"),
		Entry("no peer port", func(s *hoster.Settings) { s.Peers = netip.AddrPort{} }, "peers"),
		Entry("no caller port", func(s *hoster.Settings) { s.Callers = netip.AddrPort{} }, "callers"),
		Entry("TLS neither set nor turned off", func(s *hoster.Settings) { s.PeerTLS = hoster.TLSFiles{} }, "peer-cert"),
		Entry("no session key", func(s *hoster.Settings) { s.SessionKeys = nil }, "session-keys"),
		Entry("short session key", func(s *hoster.Settings) { s.SessionKeys[0] = []byte("short") }, "session-keys"),
		Entry("no operator key", func(s *hoster.Settings) { s.OperatorKeys = nil }, "operator-keys"),
		Entry("grace that leaves no time to drain", func(s *hoster.Settings) { s.Drain = 3 * time.Second }, "grace"),
		Entry("negative drain", func(s *hoster.Settings) { s.Drain = -1 }, "drain"),
		Entry("negative memory", func(s *hoster.Settings) { s.Limits.ProcessMemory = -1 }, "memory"),
		Entry("hardly any descriptors", func(s *hoster.Settings) { s.Limits.Descriptors = 10 }, "descriptors"),
		Entry("negative connections", func(s *hoster.Settings) { s.Limits.Connections = -1 }, "max-connections"),
		Entry("negative requests", func(s *hoster.Settings) { s.Limits.Requests = -1 }, "max-requests"),
		Entry("hardly any memory for requests", func(s *hoster.Settings) { s.Limits.RequestMemory = 1 }, "request-memory"),
		Entry("fewer fields than requests have", func(s *hoster.Settings) { s.Limits.HeaderFields = 3 }, "max-header-fields"),
		Entry("negative write timeout", func(s *hoster.Settings) { s.Limits.WriteTimeout = -1 }, "write-timeout"),
	)

	DescribeTable("parses the description of a host", func(text string, ok bool) {
		s, err := hoster.ParseSpec(text)
		Expect(err == nil).To(Equal(ok))
		if ok {
			Expect(s.String()).To(Equal(text))
		}
	},
		Entry("with a disk", "a1@a=127.0.0.1:7000+disk", true),
		Entry("without a disk", "a1@a=[::1]:7000", true),
		Entry("no zone", "a1=127.0.0.1:7000", false),
		Entry("no port", "a1@a=127.0.0.1", false),
		Entry("host name instead of an IP address", "a1@a=localhost:7000", false),
	)
})
