package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// complete returns what bash offers for the last word of a command line after sourcing the documented script.
func complete(t *testing.T, dir string, words ...string) string {
	t.Helper()
	script, err := filepath.Abs("../docs/completion.bash")
	require.NoError(t, err)
	const run = `source "$0"; COMP_WORDS=("$@"); COMP_CWORD=$(($# - 1)); _tamarack_complete; printf '%s ' "${COMPREPLY[@]}"`
	bash := exec.CommandContext(t.Context(), "bash", append([]string{"--norc", "-c", run, script}, words...)...)
	bash.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
	bash.Dir = dir
	out, err := bash.Output()
	require.NoError(t, err)
	return strings.TrimSpace(string(out))
}

// Guards against a completion script that calls the programs with wrong arguments, and against programs that run a command or
// print an error instead of completions.
func TestCompletion(t *testing.T) {
	dir := t.TempDir()
	for _, program := range []string{"operator:tamarack", "host:tamarack-host", "load:tamarack-load"} {
		module, name, _ := strings.Cut(program, ":")
		build := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(dir, name), "../"+module)
		out, err := build.CombinedOutput()
		require.NoError(t, err, string(out))
	}
	require.NoError(t, os.WriteFile(filepath.Join(dir, "fleet.yaml"), nil, 0o600))
	tests := []struct{ line, want string }{
		{"tamarack ", "apply check explain key report status"},
		{"tamarack e", "explain"},
		{"tamarack key ", "give withdraw"},
		{"tamarack report --h", "--help --html"},
		{"tamarack apply --expect 1 fl", "fleet.yaml"},
		{"tamarack -s fl", "fleet.yaml"},
		{"tamarack-host --s", "--settings"},
		{"tamarack-host --settings fl", "fleet.yaml"},
		{"tamarack-load ", "capacity compare demo fleet measure soak"},
		{"tamarack-load so", "soak"},
		{"tamarack-load none", ""},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			require.Equal(t, tt.want, complete(t, dir, strings.Split(tt.line, " ")...))
		})
	}
}
