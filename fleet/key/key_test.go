package key_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/key"
)

func generate(t *testing.T, seed byte) key.Key {
	t.Helper()
	// The id differs from the secret, so that a test can distinguish which of them is shown.
	random := append(bytes.Repeat([]byte{^seed}, 8), bytes.Repeat([]byte{seed}, 32)...)
	k, err := key.Generate(bytes.NewReader(random))
	require.NoError(t, err)
	return k
}

func entryOf(k key.Key, team string) *fleetpb.KeyEntry {
	hash := k.Hash()
	return &fleetpb.KeyEntry{Id: string(k.ID), Team: team, Hash: hash[:]}
}

// Guards against a secret that gets into a log when a key, or an error about it, is formatted in any way.
func TestSecretIsNeverFormatted(t *testing.T) {
	k := generate(t, 0xA7)
	id, secret, _ := strings.Cut(k.Plaintext(), ".")
	wrapper := struct{ inner key.Key }{k}
	asJSON, err := json.Marshal(k)
	require.NoError(t, err)
	formatted := []string{string(asJSON)}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d", "%T"} {
		formatted = append(formatted, fmt.Sprintf(verb, k), fmt.Sprintf(verb, &k), fmt.Sprintf(verb, wrapper))
	}
	_, err = key.Parse(id + "." + secret + "A")
	require.Error(t, err)
	formatted = append(formatted, err.Error(), fmt.Sprintf("%+v", err))
	_, _, err = key.NewTable().Check(k.Plaintext())
	require.Error(t, err)
	formatted = append(formatted, err.Error(), fmt.Sprintf("%+v", err))
	for _, text := range formatted {
		require.NotContains(t, text, secret)
		require.NotContains(t, strings.ToLower(text), "a7a7")
		require.NotContains(t, text, "167 167")
	}
}

// Guards invariants 4 and 6: a key works only for its own team, and not after it is withdrawn.
func TestTable(t *testing.T) {
	brno, plzen := generate(t, 1), generate(t, 2)
	forged := string(brno.ID) + "." + strings.SplitN(plzen.Plaintext(), ".", 2)[1]
	table := key.NewTable()
	table.Update(&fleetpb.State{Full: true, Keys: []*fleetpb.KeyEntry{
		entryOf(brno, "brno"), entryOf(plzen, "plzen"), {Id: "short", Team: "brno", Hash: []byte{1}},
	}})

	id, team, err := table.Check(brno.Plaintext())
	require.NoError(t, err)
	require.Equal(t, brno.ID, id)
	require.Equal(t, ident.Team("brno"), team)
	require.False(t, table.Valid(id, "plzen"))
	for _, wrong := range []string{"", ".", "short.", "none." + strings.Split(brno.Plaintext(), ".")[1], forged, brno.Plaintext() + "\n"} {
		_, _, err := table.Check(wrong)
		var want *key.WrongKeyError
		require.ErrorAs(t, err, &want, "%q", wrong)
	}

	table.Update(&fleetpb.State{Withdrawn: []string{string(brno.ID)}})
	_, _, err = table.Check(brno.Plaintext())
	var revoked *key.RevokedError
	require.ErrorAs(t, err, &revoked)
	require.False(t, table.Valid(brno.ID, "brno"))
	require.True(t, table.Valid(plzen.ID, "plzen"))

	table.Update(&fleetpb.State{Full: true, Keys: []*fleetpb.KeyEntry{entryOf(brno, "brno")}})
	require.False(t, table.Valid(plzen.ID, "plzen"), "a full state replaces the table")
}
