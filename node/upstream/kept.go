package upstream

// maxKeptState is the size in bytes of the values and prepared statements with which a connection stays in its pool. Ordinary sessions have
// few and short ones.
const maxKeptState = 64 << 10

// hasLargeState reports whether the session state of a connection is too large to be kept while nobody uses it.
func (c *Conn) hasLargeState() bool {
	size := 0
	for name, value := range c.values {
		size += len(name) + len(value)
	}
	for definition := range c.prepared {
		size += len(definition.Shape)
	}
	return size > maxKeptState
}
