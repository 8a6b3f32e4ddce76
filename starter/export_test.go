package starter

// Times after which the kernel closes a connection to an upstream, for specs.
const (
	TCPUserTimeout        = tcpUserTimeout
	UpstreamKeepAliveIdle = upstreamKeepAliveIdle
)
