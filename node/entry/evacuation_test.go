package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against statements of an open transaction that run on an upstream of an evacuated availability zone (EVAC). Its caller gets the
// promise that nothing is kept, also for a commit, and can repeat the transaction.
func TestTransactionInEvacuatedZone(t *testing.T) {
	for name, steps := range map[string][]string{
		"read-only read":   {"BEGIN FETCH", "FETCH a", "!zone is evacuated", "FETCH b"},
		"read-only commit": {"BEGIN FETCH", "FETCH a", "!zone is evacuated", "COMMIT"},
		"read":             {"BEGIN", "FETCH a", "!zone is evacuated", "FETCH b"},
		"write":            {"BEGIN", "STORE a 1", "!zone is evacuated", "STORE b 1"},
		"commit":           {"BEGIN", "STORE a 1", "!zone is evacuated", "COMMIT"},
		"prepared":         {"PARSE p FETCH q", "BEGIN", "EXECUTE p a", "!zone is evacuated", "EXECUTE p b"},
	} {
		for _, database := range []string{"primary", "session", "bounded"} {
			t.Run(name+"/"+database, func(t *testing.T) {
				h := newHost(t, time.Minute)
				transcript := h.runScript(database+" key", steps...)
				require.Contains(t, transcript, "ERROR ABORTED", transcript)
				ran := 0
				for _, run := range h.group.Runs() {
					if run.Text != "" {
						ran++
					}
				}
				require.Equal(t, 1, ran, "only the statement before the evacuation has run")
				items, _ := h.group.Items()
				require.Empty(t, items)
				h.applyEvent("evacuation is taken back")
				require.NotContains(t, h.runScript(database+" key", "BEGIN", "FETCH a", "COMMIT", "FETCH a"), "ERROR")
			})
		}
	}
}
