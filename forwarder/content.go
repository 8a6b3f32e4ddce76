package forwarder

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// contentID returns a hash of what the upstream is asked to do: the workspace,
// method, host, target and body, or the parts of the prompt if there is no body. It
// is the same for each copy of a request that a caller sends, whatever its ID.
func (c *call) contentID() uint64 {
	if c.content == 0 {
		c.content = c.hashContent()
	}
	return c.content
}

func (c *call) hashContent() uint64 {
	d := xxhash.New()
	for _, text := range []string{c.workspace, c.r.Method, c.r.Host, c.r.RequestURI} {
		// Writing to a digest does not fail.
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	if len(c.body) == 0 {
		for _, p := range c.envelope.Parts {
			_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, p.ID))
		}
	}
	return d.Sum64()
}
