package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a removal whose text a later change has reworded: the proofs would find it only after all other tests.
func TestRemovalsMatchTheSource(t *testing.T) {
	for _, r := range removals {
		source, err := os.ReadFile(filepath.Join("..", r.file))
		require.NoError(t, err)
		require.Equal(t, 1, strings.Count(string(source), r.old), "%s: %q", r.file, r.old)
	}
}

// Guards against a test run that could not start, or did not build, and counts as the failure of a test.
func TestProvesFailure(t *testing.T) {
	require.True(t, provesFailure("--- FAIL: TestOrder (0.00s)\nFAIL\n"))
	require.True(t, provesFailure("panic: test timed out after 2m0s\n"))
	require.False(t, provesFailure("FAIL\ttamarackshunt.dev/fleet/directory [build failed]\n"))
	require.False(t, provesFailure("go: cannot find main module\n"))
}
