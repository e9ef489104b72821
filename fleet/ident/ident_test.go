package ident_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
)

// Guards against treating a replica as up to date when its term is older, or when it is behind under a newer term.
func TestCovers(t *testing.T) {
	tests := []struct {
		name       string
		held, want ident.Position
		covers     bool
	}{
		{"same", ident.Position{Term: 1, LSN: 5}, ident.Position{Term: 1, LSN: 5}, true},
		{"newer term but behind", ident.Position{Term: 2, LSN: 4}, ident.Position{Term: 1, LSN: 5}, false},
		{"older term but ahead", ident.Position{Term: 1, LSN: 9}, ident.Position{Term: 2, LSN: 5}, false},
		{"ahead in both", ident.Position{Term: 2, LSN: 9}, ident.Position{Term: 1, LSN: 5}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.covers, tt.held.Covers(tt.want))
		})
	}
}

// Guards against a text form that ParsePosition cannot read, and against malformed input that it accepts.
func TestParsePosition(t *testing.T) {
	p := ident.Position{Term: 3, LSN: 0xABC}
	got, err := ident.ParsePosition(p.String())
	require.NoError(t, err)
	require.Equal(t, p, got)
	for _, bad := range []string{"", "3", "/", "3/", "zz/1", "3/1x", "3/1 ", "3x/1", "-3/1", "3/+1"} {
		_, err := ident.ParsePosition(bad)
		require.Error(t, err, bad)
	}
}
