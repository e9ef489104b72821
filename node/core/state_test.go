package core

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

func parseStub(source []byte) (*catalog.Catalog, error) {
	if string(source) == "bad" {
		return nil, errors.New("bad")
	}
	return catalog.New(catalog.Description{Version: ident.Version(len(source))})
}

func configure(version uint64, source string) *fleetpb.Change {
	packed, err := catalog.Pack([]byte(source))
	if err != nil {
		panic(err)
	}
	return &fleetpb.Change{Kind: &fleetpb.Change_Configure{Configure: &fleetpb.Configure{Version: version, Packed: packed}}}
}

func evacuate(zone string, active bool) *fleetpb.Change {
	return &fleetpb.Change{Kind: &fleetpb.Change_Evacuate{Evacuate: &fleetpb.Evacuate{Zone: zone, Active: active}}}
}

func succession(upstream string) *fleetpb.Change {
	return &fleetpb.Change{Kind: &fleetpb.Change_Succession{Succession: &fleetpb.Succession{Service: "svc", Upstream: upstream}}}
}

// Guards against a configuration that is replaced by an older one, a repeated configuration that is refused although it
// changes nothing, tokens that are used twice, and a snapshot that omits a part of the state.
func TestState(t *testing.T) {
	s := newState(parseStub)
	apply := func(index uint64, change *fleetpb.Change) *fleetpb.Outcome {
		outcome, ok := s.Apply(index, change).(*fleetpb.Outcome)
		require.True(t, ok)
		return outcome
	}
	require.True(t, apply(1, configure(0, "zero")).GetDone(), "the first configuration may have any version")
	require.True(t, apply(2, configure(5, "five")).GetDone())
	require.True(t, apply(3, configure(5, "other")).GetDone(), "other content of the same version is acknowledged and ignored")
	require.True(t, apply(4, configure(4, "four")).GetDone())
	require.Equal(t, "five", configurationText(t, s))
	require.False(t, apply(5, configure(6, "bad")).GetDone())
	require.Equal(t, uint64(5), s.configuration().GetVersion())

	apply(6, evacuate("z1", true))
	apply(7, evacuate("z0", true))
	apply(8, evacuate("z1", true))
	require.Equal(t, []string{"z0", "z1"}, s.evacuated())
	apply(9, evacuate("z1", false))
	require.Equal(t, []string{"z0"}, s.evacuated())

	first, second := apply(10, succession("a")).GetVersion(), apply(11, succession("b")).GetVersion()
	require.Less(t, first, second, "each order to promote gets a higher token than the one before")
	require.Equal(t, ident.Upstream("b"), ident.Upstream(s.succession("svc").GetUpstream()))
	require.False(t, apply(11, succession("c")).GetDone(), "an entry is applied only once")

	snapshot, err := s.Snapshot()
	require.NoError(t, err)
	restored := newState(parseStub)
	require.NoError(t, restored.Restore(snapshot))
	require.Equal(t, "five", configurationText(t, restored))
	require.NotNil(t, restored.parsed())
	require.Equal(t, []string{"z0"}, restored.evacuated())
	require.Equal(t, ident.Upstream("b"), ident.Upstream(restored.succession("svc").GetUpstream()))
	again, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, snapshot, again)
}

func configurationText(t *testing.T, s *state) string {
	t.Helper()
	source, err := catalog.Unpack(s.configuration().GetPacked())
	require.NoError(t, err)
	return string(source)
}

// Guards against a list of evacuated zones that changes while a caller reads it without the state's lock.
func TestEvacuatedIsNotChangedInPlace(t *testing.T) {
	s := newState(parseStub)
	s.Apply(1, evacuate("z0", true))
	s.Apply(2, evacuate("z1", true))
	held := s.evacuated()
	s.Apply(3, evacuate("z0", false))
	require.Equal(t, []string{"z0", "z1"}, held)
	require.Equal(t, []string{"z1"}, s.evacuated())
}
