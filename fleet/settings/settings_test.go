package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/settings"
)

// Guards against mistakes in a settings file that are accepted, or reported without their location.
func TestParseNamesThePlaceOfMistakes(t *testing.T) {
	tests := []struct {
		name, yaml string
		want       []string
	}{
		{"unknown field", "upstream: u1\nslotz: 2\n", []string{"x.yaml:2", "slotz"}},
		{"wrong type", "upstream: u1\nslots: many\n", []string{"x.yaml:2"}},
		{"out of range", "upstream: u1\nservice: s\nzone: z\nregion: r\nlisten: l\nuser: u\npassword: p\nconnections: 20\nslots: 0\n", []string{"slots"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := settings.Parse("x.yaml", []byte(tt.yaml), &fleetpb.StandinSettings{})
			require.Error(t, err)
			for _, want := range tt.want {
				require.ErrorContains(t, err, want)
			}
		})
	}
}
