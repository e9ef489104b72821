package group_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
)

// Guards against a partial result from an invalid state: a fenced upstream would look like one without a term.
func FuzzParseState(f *testing.F) {
	for _, seed := range []string{"(primary,3,3,0/1A2B)", "(replica,3,2,1/0)", "(detached,0,0,0/0)", "(draining,1,1,FFFFFFFF/FFFFFFFF)", "(primary,3,3)", "", "(,,,)"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := group.ParseState(text)
		if err != nil {
			require.Zero(t, s)
			return
		}
		require.False(t, s.Primary && s.Following)
	})
}

// Guards against a partial result from an invalid row.
func FuzzParseRow(f *testing.F) {
	f.Add("b", "3", "0/10", "0/8", "12")
	f.Add("", "-1", "/", "0", "99999999999999999999")
	f.Fuzz(func(t *testing.T, name, term, flush, replay, age string) {
		r, err := group.ParseRow([][]byte{[]byte(name), []byte(term), []byte(flush), []byte(replay), []byte(age)})
		if err != nil {
			require.Zero(t, r)
			return
		}
		require.GreaterOrEqual(t, int64(r.Age), int64(0))
	})
}

// Guards against a parser that differs from the format that upstreams send.
func TestParseState(t *testing.T) {
	s, err := group.ParseState("(replica,3,2,1/A)")
	require.NoError(t, err)
	require.Equal(t, group.State{Following: true, Term: 3, Last: ident.Position{Term: 2, LSN: 1<<32 | 10}}, s)
}
