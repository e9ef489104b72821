package control_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/key"
)

// Guards invariant 14 against two operators who both get the answer that their text is in force, a resent request
// that is applied twice or gets another answer, and an id that is used for two texts.
func TestOperatorsRace(t *testing.T) {
	sim := newSimulation(t)
	send := func(operator, id string, expected uint64, source string) *fleetpb.ApplyResponse {
		answer := sim.applyText(id, expected, source)
		sim.logf("%s sends %s over version %d: accepted %t, raced %t, version %d by %q, problems %q", operator, id, expected,
			answer.GetAccepted(), answer.GetRaced(), answer.GetVersion(), answer.GetWinner(), answer.GetProblems())
		return answer
	}
	changed := strings.Replace(yaml, "rate: 200", "rate: 300", 1)
	send("anna", "a1", 0, yaml)
	first := send("anna", "a2", 1, changed)
	lost := send("boris", "b1", 1, yaml+"# boris\n")
	send("anna", "a2", 1, changed+"# another text under the same id\n")
	send("boris", "b2", 2, yaml+"# boris\n")
	require.True(t, proto.Equal(first, send("anna", "a2", 1, changed)))
	require.True(t, proto.Equal(lost, send("boris", "b1", 1, yaml+"# boris\n")))
	send("anna", "", 3, changed)
	send("anna", "a3", 3, "zones: []\n")
	for i := range 1024 {
		id := fmt.Sprintf("filler-%d", i)
		sim.apply(&fleetpb.Change{Kind: &fleetpb.Change_Withdraw{Withdraw: &fleetpb.WithdrawKeyRequest{Id: id, Key: "none"}}})
	}
	sim.logf("1024 further requests are answered")
	send("anna", "a2", 1, changed)
	sim.assertGolden("race")
}

// Guards invariant 2 and the order of epochs of section 7: a promotion under a superseded attempt, two primaries in
// one term, the removal of a member that still counts, and an epoch that starts before the previous one is settled.
func TestChangesOutOfOrderAreRefused(t *testing.T) {
	sim := newSimulation(t)
	sim.applyText("a1", 0, yaml)
	steps := []struct {
		what   string
		change *fleetpb.Change
	}{
		{"attempt without members", attempt("orders", 1)},
		{"join an unknown service", join("stock", member("u1", "north"))},
		{"join from an unknown zone", join("orders", member("u1", "west"))},
		{"join u1", join("orders", member("u1", "north"))},
		{"join u2", join("orders", member("u2", "south"))},
		{"join u3", join("orders", member("u3", "east"))},
		{"join u4, too many", join("orders", member("u4", "east"))},
		{"attempt 2", attempt("orders", 2)},
		{"attempt 2 again", attempt("orders", 2)},
		{"attempt 3", attempt("orders", 3)},
		{"promote under 2, superseded", promoted("orders", 2, "u1")},
		{"promote a stranger", promoted("orders", 3, "u9")},
		{"promote u1 under 3", promoted("orders", 3, "u1")},
		{"promote u1 under 3 again", promoted("orders", 3, "u1")},
		{"promote u2 under 3", promoted("orders", 3, "u2")},
		{"attempt 3, already a term", attempt("orders", 3)},
		{"remove u2, which stays", leave("u2", true)},
		{"mark u2 as leaving", leave("u2", false)},
		{"join u4, the replacement", join("orders", member("u4", "south"))},
		{"remove u2", leave("u2", true)},
		{"mark u1 as leaving", leave("u1", false)},
		{"remove u1, the primary", leave("u1", true)},
		{"settle epoch 1, not started", keepers(1, true)},
		{"epoch 2, not the next", keepers(2, false, "h1")},
		{"epoch 1 without keepers", keepers(1, false)},
		{"epoch 1", keepers(1, false, "h1")},
		{"epoch 2, 1 is not settled", keepers(2, false, "h2")},
		{"settle epoch 1", keepers(1, true)},
		{"epoch 2", keepers(2, false, "h2")},
		{"settle epoch 1 late", keepers(1, true)},
	}
	for _, step := range steps {
		sim.logf("%s: %s", step.what, sim.outcome(step.change))
	}
	sim.assertGolden("order")
}

// Guards invariants 4 and 6 on a host that follows deltas. A withdrawn key, or a key of a team that the text dropped,
// must not work, and a given key must not work for another team or under a reused id.
func TestKeyWithdrawn(t *testing.T) {
	sim := newSimulation(t)
	sim.applyText("a1", 0, yaml)
	table, known := key.NewTable(), ident.Version(0)
	brno, plzen := newKey(t, 1), newKey(t, 2)
	show := func(what string) {
		delta := sim.machine.Delta(known)
		known = sim.machine.Version()
		table.Update(delta)
		sim.logf("%s; the host gets full %t, %d keys, withdrawn %v", what, delta.GetFull(), len(delta.GetKeys()), delta.GetWithdrawn())
		for _, k := range []key.Key{brno, plzen} {
			_, team, err := table.Check(k.Plaintext())
			sim.logf("  %s: team %q, error %v", k.ID, team, err)
		}
	}
	change := func(what string, c *fleetpb.Change) {
		answer := sim.apply(c).(*fleetpb.KeyResponse)
		show(fmt.Sprintf("%s: done %t %s", what, answer.GetDone(), answer.GetProblem()))
	}
	show("no keys yet")
	change("give brno a key", give("k1", brno, "brno"))
	change("resend", give("k1", brno, "brno"))
	change("give an unknown team a key", give("k2", plzen, "praha"))
	change("give plzen a key", give("k3", plzen, "plzen"))
	change("withdraw brno's key", withdraw("k4", brno))
	change("withdraw it again", withdraw("k5", brno))
	change("give it again", give("k6", brno, "brno"))
	change("withdraw under plzen's id", withdraw("k3", plzen))
	sim.applyText("a2", 1, strings.Replace(yaml, "  - {name: plzen, rate: 200, burst: 100}\n", "", 1))
	show("the text drops plzen")
	sim.applyText("a3", 2, yaml)
	show("plzen returns")
	known, table = 0, key.NewTable()
	show("a new host")
	sim.assertGolden("keys")
}

// Guards invariant 6 on a host that has not synced for long: a delta without the withdrawal of a key, because the
// state no longer lists it.
func TestDeltaAfterDroppedWithdrawal(t *testing.T) {
	sim := newSimulation(t)
	sim.applyText("a1", 0, yaml)
	first := newKey(t, 1)
	sim.apply(give("k1", first, "brno"))
	known := sim.machine.Version()
	sim.apply(withdraw("k2", first))
	after := sim.machine.Version()
	for i := range 4096 {
		hash := first.Hash()
		id := fmt.Sprintf("k-%d", i)
		sim.apply(&fleetpb.Change{Kind: &fleetpb.Change_Give{Give: &fleetpb.GiveKeyRequest{Id: "g" + id, Team: "brno", Key: id, Hash: hash[:]}}})
		sim.apply(&fleetpb.Change{Kind: &fleetpb.Change_Withdraw{Withdraw: &fleetpb.WithdrawKeyRequest{Id: "w" + id, Key: id}}})
	}
	require.True(t, sim.machine.Delta(known).GetFull())
	require.False(t, sim.machine.Delta(after).GetFull())
}

// Guards invariant 14 when a host restarts after hundreds of changes: against a restored state that differs from the
// state before, lacks earlier answers, or returns deltas that miss a change.
func TestRestartAfter300Changes(t *testing.T) {
	sim := newSimulation(t)
	sim.applyText("a1", 0, yaml)
	replica := control.NewMachine()
	var changes []*fleetpb.Change
	for i := range 100 {
		k := newKey(t, byte(i))
		changes = append(changes, give(fmt.Sprintf("give-%d", i), k, "brno"))
		if i%2 == 0 {
			changes = append(changes, withdraw(fmt.Sprintf("withdraw-%d", i), k))
		}
		changes = append(changes, join("orders", member(fmt.Sprintf("u%d", i%5), "north")), attempt("orders", uint64(i)))
	}
	require.Greater(t, len(changes), 300)
	var middle ident.Version
	var between []byte
	var answers []proto.Message
	for i, change := range changes {
		answers = append(answers, sim.apply(change))
		if i == 200 {
			middle = sim.machine.Version()
			snapshot, err := sim.machine.Snapshot()
			require.NoError(t, err)
			between = snapshot
		}
	}
	require.NoError(t, replica.Restore(between))
	require.Contains(t, replica.Apply(1, attempt("orders", 1000)).(*fleetpb.Outcome).GetProblem(), "already applied")
	for i, change := range changes[201:] {
		// Index 1 was the text, so changes[i] is at index i+2.
		require.True(t, proto.Equal(answers[201+i], replica.Apply(uint64(201+i+2), change)), "change %d", 201+i)
	}
	same, err := replica.Snapshot()
	require.NoError(t, err)
	whole, err := sim.machine.Snapshot()
	require.NoError(t, err)
	require.Equal(t, whole, same, "a replica that starts from a snapshot reaches the same state")
	require.True(t, proto.Equal(sim.machine.Delta(middle), replica.Delta(middle)))
	require.NotEmpty(t, replica.Delta(middle).GetKeys())
	require.False(t, replica.Delta(middle).GetFull())
	require.Nil(t, replica.Delta(middle).GetText(), "the text did not change since")

	again := replica.Apply(uint64(len(changes)+1), changes[len(changes)-1]).(*fleetpb.Outcome)
	require.Contains(t, again.GetProblem(), "already applied")
	resend := replica.Apply(uint64(len(changes)+2), give("give-99", newKey(t, 99), "brno"))
	require.True(t, proto.Equal(answers[len(answers)-3], resend), "a resend after the restart gets the first answer")
	require.Error(t, replica.Restore([]byte("garbage")))
	require.Equal(t, sim.machine.Version(), replica.Version(), "an unusable snapshot leaves the state as it was")
}
