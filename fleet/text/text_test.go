package text_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/text"
)

// Guards against mistakes in a text that are accepted, reported one at a time, or reported without the file, line, field
// and what was expected.
func TestParseReportsEveryMistake(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		t.Run(name, func(t *testing.T) {
			source, err := os.ReadFile(path)
			require.NoError(t, err)
			parsed, err := text.Parse(filepath.Base(path), source)
			if name == "good" {
				require.NoError(t, err)
				require.Equal(t, "guests", parsed.GetServices()[0].GetRoutes()[0].GetTeam())
				return
			}
			var mistakes *text.Error
			require.True(t, errors.As(err, &mistakes), "%v", err)
			goldie.New(t).Assert(t, name, []byte(mistakes.Error()+"\n"))
		})
	}
}

// Guards against sources that crash the parser, and against mistakes without a line.
func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("testdata/*.yaml")
	require.NoError(f, err)
	for _, path := range paths {
		source, err := os.ReadFile(path)
		require.NoError(f, err)
		f.Add(source)
	}
	for _, source := range []string{"", "[]", "zones: null", "&a [*a]", "services: [{needs: [{}]}]", "\xff", "teams: !!binary x"} {
		f.Add([]byte(source))
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		parsed, err := text.Parse("fuzz.yaml", source)
		if err == nil {
			require.NotEmpty(t, parsed.GetServices())
			return
		}
		var mistakes *text.Error
		require.True(t, errors.As(err, &mistakes), "%v", err)
		require.NotEmpty(t, mistakes.Mistakes)
		for _, m := range mistakes.Mistakes {
			require.NotEmpty(t, m.Problem)
			require.Positive(t, m.Line, m.Problem)
		}
	})
}
