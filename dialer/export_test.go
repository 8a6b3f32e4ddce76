package dialer

// Default times after which the kernel closes a connection to an upstream, for specs.
const (
	DefaultUserTimeout   = defaultUserTimeout
	DefaultKeepAliveIdle = defaultKeepAliveIdle
)
