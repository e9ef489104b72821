package budget_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/ident"
)

// replay plays steps on an account and records what it decides.
type replay struct {
	account *budget.Account
	holders map[string]*budget.Holder
	now     ident.Time
	log     strings.Builder
}

func newReplay(name string, limits budget.Limits) *replay {
	r := &replay{account: budget.New(limits), holders: map[string]*budget.Holder{}}
	fmt.Fprintf(&r.log, "# %s\n", name)
	return r
}

func (r *replay) open(limit int, names ...string) {
	for _, name := range names {
		r.now++
		address, _, _ := strings.Cut(name, "-")
		holder, victim, err := r.account.Open(budget.Listener{Name: "callers", Limit: limit}, address, r.now)
		if err == nil {
			r.holders[name] = holder
		}
		r.record("open "+name, err, victim)
	}
}

func (r *replay) phase(name string, phase budget.Phase) {
	r.now++
	r.account.SetPhase(r.holders[name], phase, r.now)
}

func (r *replay) take(name string, n budget.Bytes) {
	victims, err := r.account.Take(r.holders[name], n)
	r.record(fmt.Sprintf("%s takes %d KiB", name, n/budget.KiB), err, victims...)
}

func (r *replay) record(step string, err error, victims ...*budget.Holder) {
	result := "granted"
	if err != nil {
		result = err.Error()
	}
	fmt.Fprintf(&r.log, "%s: %s", step, result)
	for _, v := range victims {
		for name, h := range r.holders {
			if v != nil && h == v {
				fmt.Fprintf(&r.log, ", closes %s", name)
			}
		}
	}
	fmt.Fprintf(&r.log, "; %d KiB used\n", r.account.Used()/budget.KiB)
}

// Guards against an account that lets one session, one address, one team or all of them together hold more than their limits, that
// refuses those who hold little, or that closes a running request or a smaller holder.
func TestAccount(t *testing.T) {
	limits := budget.Limits{
		Total: 16 * budget.MiB, Reserve: 4 * budget.MiB, Session: 6 * budget.MiB, Address: 9 * budget.MiB, Team: 8 * budget.MiB,
	}
	var log strings.Builder

	r := newReplay("messages without an end, then a whole one, then little", limits)
	r.open(100, "a-1", "b-1", "c-1", "d-1", "e-1")
	for _, name := range []string{"a-1", "b-1", "c-1"} {
		r.phase(name, budget.PhaseReading)
		r.take(name, 3*budget.MiB)
	}
	r.phase("d-1", budget.PhaseReading)
	r.take("d-1", 3*budget.MiB)
	r.take("d-1", budget.MiB)
	r.phase("d-1", budget.PhaseBusy)
	r.take("d-1", 4*budget.MiB)
	r.phase("e-1", budget.PhaseReading)
	r.take("e-1", 5*budget.MiB)
	r.take("e-1", 40*budget.KiB)
	log.WriteString(r.log.String())

	r = newReplay("shares of a session, an address and a team", limits)
	r.open(100, "a-1", "a-2", "a-3", "b-1", "c-1")
	for _, name := range []string{"a-1", "a-2", "a-3", "b-1", "c-1"} {
		r.phase(name, budget.PhaseBusy)
	}
	r.take("a-1", 7*budget.MiB)
	r.take("a-1", 6*budget.MiB)
	r.take("a-2", 2*budget.MiB)
	r.take("a-3", 2*budget.MiB)
	r.account.SetTeam(r.holders["a-1"], "team")
	r.account.SetTeam(r.holders["b-1"], "team")
	r.take("b-1", 3*budget.MiB)
	r.take("b-1", 2*budget.MiB)
	r.account.Close(r.holders["a-1"])
	r.take("b-1", 2*budget.MiB)
	log.WriteString(r.log.String())

	r = newReplay("a large holder that waits goes before a smaller one is refused", limits)
	r.open(100, "a-1", "b-1", "c-1")
	r.phase("a-1", budget.PhaseIdle)
	r.take("a-1", 5*budget.MiB)
	r.phase("b-1", budget.PhaseWriting)
	r.take("b-1", 6*budget.MiB)
	r.phase("c-1", budget.PhaseBusy)
	r.take("c-1", 4*budget.MiB)
	r.take("c-1", 2*budget.MiB)
	log.WriteString(r.log.String())

	r = newReplay("connections: those without a first message go first, then the longest idle", limits)
	r.open(3, "a-1", "a-2", "a-3")
	r.phase("a-1", budget.PhaseIdle)
	r.phase("a-3", budget.PhaseIdle)
	r.open(3, "b-1")
	r.phase("b-1", budget.PhaseBusy)
	r.open(3, "b-2")
	r.phase("b-2", budget.PhaseBusy)
	r.phase("a-3", budget.PhaseBusy)
	r.open(3, "b-3")
	log.WriteString(r.log.String())

	r = newReplay("a refusal closes nobody, and a new connection none that is in a transaction", limits)
	r.open(4, "a-1", "b-1", "c-1", "d-1")
	for _, name := range []string{"a-1", "b-1", "d-1"} {
		r.phase(name, budget.PhaseBusy)
	}
	r.take("a-1", 5*budget.MiB)
	r.take("b-1", 5*budget.MiB)
	r.phase("c-1", budget.PhaseReading)
	r.take("c-1", budget.MiB)
	r.take("d-1", 4*budget.MiB)
	r.phase("c-1", budget.PhaseOpen)
	r.open(4, "e-1")
	r.phase("d-1", budget.PhaseIdle)
	r.open(4, "e-1")
	log.WriteString(r.log.String())

	goldie.New(t).Assert(t, "account", []byte(log.String()))
}

// Guards against holders that leave something behind in the account.
func TestAccountIsEmptyAfterClose(t *testing.T) {
	a := budget.New(budget.NewLimits(64*budget.MiB, 400))
	h, _, err := a.Open(budget.Listener{Name: "callers", Limit: 1}, "a", 0)
	require.NoError(t, err)
	_, err = a.Take(h, budget.MiB)
	require.NoError(t, err)
	a.SetTeam(h, "team")
	a.Give(h, 2*budget.MiB)
	require.Equal(t, budget.BaseBytes, a.Used())
	_, err = a.Take(h, budget.MiB)
	require.NoError(t, err)
	a.Close(h)
	a.Close(h)
	a.Give(h, 1)
	require.Zero(t, a.Used())
	_, err = a.Take(h, 1)
	require.Error(t, err)
}

// Guards against defaults that a caller inside the limits of the pages meets on the smallest and the largest machine: a large message
// with its copies while half of the total is used, and 1,000 sessions.
func TestDefaults(t *testing.T) {
	const message = 4 * budget.MiB
	for _, machine := range []struct {
		memory      budget.Bytes
		descriptors int
	}{{184 * budget.MiB, 4200}, {284 * budget.MiB, 4300}} {
		l := budget.NewLimits(machine.memory, machine.descriptors)
		require.NoError(t, l.Check())
		half := l.Total / 2
		require.GreaterOrEqual(t, l.Total-l.Reserve-half, message)
		require.GreaterOrEqual(t, l.Address-half, message)
		require.GreaterOrEqual(t, l.Team-half, message)
		require.GreaterOrEqual(t, l.Session, 2*message)
		require.GreaterOrEqual(t, l.Sessions, 1000)
		require.Less(t, 1000*budget.BaseBytes, half)
		require.LessOrEqual(t, l.Sessions+l.Peers+3*l.Calls, machine.descriptors-200)
	}
}

// Guards against settings that contradict each other or admit nobody.
func TestCheck(t *testing.T) {
	good := budget.NewLimits(64*budget.MiB, 400)
	require.NoError(t, good.Check())
	for name, change := range map[string]func(*budget.Limits){
		"total":    func(l *budget.Limits) { l.Total = 0 },
		"reserve":  func(l *budget.Limits) { l.Reserve = l.Total },
		"session":  func(l *budget.Limits) { l.Session = l.Total + 1 },
		"address":  func(l *budget.Limits) { l.Address = 1 },
		"team":     func(l *budget.Limits) { l.Team = -1 },
		"sessions": func(l *budget.Limits) { l.Sessions = 0 },
	} {
		l := good
		change(&l)
		var limit *budget.LimitError
		require.ErrorAs(t, l.Check(), &limit)
		require.Equal(t, name, limit.Name)
	}
}

// Guards against session state that is counted wrongly when entries are replaced and removed.
func TestState(t *testing.T) {
	s := budget.NewState(budget.SessionLimits{State: 1000, Entries: 2})
	require.True(t, s.Admits(0, 600))
	s.Replace(0, 600)
	require.False(t, s.Admits(0, 600))
	require.True(t, s.Admits(600, 900))
	s.Replace(600, 400)
	s.Replace(0, 100)
	require.False(t, s.Admits(0, 100), "a third entry")
	require.True(t, s.Admits(100, 500))
	s.Replace(100, 0)
	require.Equal(t, budget.Bytes(400), s.Bytes())
	require.True(t, s.Admits(0, 600))
}
