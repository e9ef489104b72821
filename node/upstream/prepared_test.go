package upstream_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"math/bits"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/upstream"
)

// definitionLog records for each executed statement the definition that its name had on the connection.
type definitionLog struct {
	upstream.Session
	names    map[string]string
	executed *[]string
}

// Run implements upstream.Session.
func (l definitionLog) Run(id string, since ident.Position, request statement.Request) (statement.Result, error) {
	switch r := request.(type) {
	case statement.Prepare:
		l.names[r.Name] = r.Prepared.Shape
	case statement.Execute:
		*l.executed = append(*l.executed, l.names[r.Name])
	}
	return l.Session.Run(id, since, request)
}

// Guards against a statement that runs another definition than its session prepared, since the names of two definitions are equal on a
// connection. Names made of a 64-bit hash were equal for texts that anyone can compute.
func TestDefinitionsWithOneHash(t *testing.T) {
	_, _, target := startUpstream(t, 20)
	var executed []string
	p := upstream.NewPool(target, func(connection io.ReadWriter) upstream.Session {
		return definitionLog{protocol(connection), map[string]string{}, &executed}
	}, 1)
	one, other := textsWithOneHash()
	require.NotEqual(t, one, other)
	require.Equal(t, xxhash.Sum64String(one), xxhash.Sum64String(other))
	var sent []string
	for _, shape := range []string{one, other, one} {
		use := readUse("1", "k")
		use.Prepared = &statement.Prepared{Shape: shape}
		outcome, err := p.Executor("team", 1).Execute(contextWithTimeout(t), use)
		require.NoError(t, err)
		require.Nil(t, outcome.Result.Failure)
		sent = append(sent, shape)
	}
	require.Equal(t, sent, executed)
}

// textsWithOneHash returns two texts of 64 bytes with the same xxHash64. The hash keeps four sums, to each of which it adds every fourth
// word of the text: a change of the first word is undone by a change of the fifth.
func textsWithOneHash() (one, other string) {
	// inverse2 is the inverse of prime2 modulo 2^64.
	const prime1, prime2, inverse2 uint64 = 0x9e3779b185ebca87, 0xc2b2ae3d27d4eb4f, 0x0ba79078168d4baf
	start := prime2
	start += prime1
	sum := func(text []byte) uint64 {
		return bits.RotateLeft64(start+binary.LittleEndian.Uint64(text)*prime2, 31) * prime1
	}
	first, second := bytes.Repeat([]byte{'a'}, 64), bytes.Repeat([]byte{'a'}, 64)
	second[0] = 'b'
	fifth := second[32:]
	binary.LittleEndian.PutUint64(fifth, binary.LittleEndian.Uint64(fifth)+(sum(first)-sum(second))*inverse2)
	return string(first), string(second)
}
