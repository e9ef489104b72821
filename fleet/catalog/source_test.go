package catalog_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/catalog"
)

// Guards against a text that changes between Pack and Unpack, and against packed bytes that crash a host.
func TestPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := rapid.SliceOf(rapid.Byte()).Draw(t, "source")
		packed, err := catalog.Pack(source)
		require.NoError(t, err)
		unpacked, err := catalog.Unpack(packed)
		require.NoError(t, err)
		require.True(t, bytes.Equal(source, unpacked))
	})
	rapid.Check(t, func(t *rapid.T) {
		_, err := catalog.Unpack(rapid.SliceOf(rapid.Byte()).Draw(t, "packed"))
		var problem *catalog.SourceError
		if err != nil {
			require.ErrorAs(t, err, &problem)
		}
	})
	_, err := catalog.Unpack(nil)
	require.Error(t, err)
	bomb, err := catalog.Pack(make([]byte, 33<<20))
	require.NoError(t, err)
	_, err = catalog.Unpack(bomb)
	require.ErrorContains(t, err, "longer than")
}

// Guards against a configuration of hundreds of routes that fills the links between regions with each change.
func TestPackIsSmall(t *testing.T) {
	route := []byte(`{"name":"r-8w8p4gv","host":"xapu221ny95","path_prefix":"/","type":"bounded","timeout_ms":2000,"slo_ms":800},`)
	packed, err := catalog.Pack(bytes.Repeat(route, 300))
	require.NoError(t, err)
	require.Less(t, len(packed), len(route)*300/8)
}
