package session_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/session"
)

// replay runs the steps of a counterexample of models/session.pml with the Go code: keepers 0 and 1, and the writer as host 2.
// The steps of the control leader are taken from the trace without a check.
type replay struct {
	bytes.Buffer
	now         ident.Time
	sets        map[ident.Epoch]*session.Set
	epoch       ident.Epoch
	settled     bool
	incarnation [2]ident.Incarnation
	keepers     [2]*session.Keeper
	writerView  *session.View
	writerLease ident.Time
	// For each keeper, the epoch for which it last read a floor (0 for none since its start), and the position that it read.
	reading    [2]ident.Epoch
	read       [2]ident.Position
	committed  ident.Position
	writer     *session.Writer
	puts       map[ident.Host]session.Member
	responses  map[ident.Host]*fleetpb.PutResponse
	confirmed  bool
	deviations int
}

const forever = ident.Time(1) << 60

func (r *replay) member(k int) session.Member {
	return session.Member{Host: ident.Host(fmt.Sprint("k", k)), Incarnation: r.incarnation[k], Zone: "z"}
}

// holder returns the keeper of an epoch: 0 in odd epochs, 1 in even ones.
func holder(epoch ident.Epoch) int { return int(epoch+1) % 2 }

func newReplay() *replay {
	r := &replay{
		sets: map[ident.Epoch]*session.Set{}, epoch: 1, settled: true, writerLease: forever,
		puts: map[ident.Host]session.Member{}, responses: map[ident.Host]*fleetpb.PutResponse{},
	}
	r.startEpoch(1)
	for k := range r.keepers {
		r.start(k)
		r.keepers[k].Adopt(r.view(1, true))
		r.keepers[k].SetLease(forever)
		r.keepers[k].SetFloor("ledger", 1, ident.Position{})
	}
	r.writerView = r.view(1, true)
	return r
}

func (r *replay) start(k int) {
	r.keepers[k] = session.NewKeeper(session.KeeperOptions{Self: r.member(k), MaxSessions: 64})
}

func (r *replay) startEpoch(epoch ident.Epoch) {
	r.sets[epoch] = session.NewSet(epoch, []session.Member{r.member(holder(epoch))})
}

func (r *replay) view(epoch ident.Epoch, settled bool) *session.View {
	v := &session.View{Current: r.sets[epoch], Settled: settled}
	if !settled {
		v.Previous = r.sets[epoch-1]
	}
	return v
}

// deviation counts a step of the trace that the Go code does not execute, and returns its line for the golden file.
func (r *replay) deviation(format string, args ...any) string {
	r.deviations++
	return "DIFFERS: " + fmt.Sprintf(format, args...)
}

func (r *replay) sync(host int, epoch ident.Epoch, settled bool) string {
	v := r.view(epoch, settled)
	if host == 2 {
		r.writerView, r.writerLease = v, forever
		return "writer adopts"
	}
	r.keepers[host].Adopt(v)
	r.keepers[host].SetLease(forever)
	return "keeper adopts"
}

func (r *replay) readFloor(k int) string {
	epoch, missing := r.keepers[k].MissingFloors([]ident.Service{"ledger"})
	if len(missing) == 0 {
		return r.deviation("wants no floor")
	}
	r.reading[k], r.read[k] = epoch, r.committed
	return "reads " + r.committed.String()
}

func (r *replay) setFloor(k int) string {
	if r.reading[k] == 0 {
		return r.deviation("has no floor to set")
	}
	r.keepers[k].SetFloor("ledger", r.reading[k], r.read[k])
	return "sets " + r.read[k].String()
}

// nextAction returns the writer's next step and records the Puts that it sends.
func (r *replay) nextAction() session.WriteAction {
	action := r.writer.Next(r.now, session.Conditions{View: r.writerView, Lease: r.writerLease})
	if send, ok := action.(session.SendPuts); ok {
		for _, m := range send.To {
			r.puts[m.Host] = m
		}
	}
	return action
}

func (r *replay) put(k int) string {
	r.nextAction()
	m, found := r.puts[r.member(k).Host]
	if !found {
		return r.deviation("writer sends nothing to k%d", k)
	}
	response := r.keepers[k].Put(r.writer.Request(r.writerView.Epoch()))
	r.responses[m.Host] = response
	return fmt.Sprintf("recorded %t", response.GetRecorded())
}

func (r *replay) answer(k int) string {
	host := r.member(k).Host
	response, found := r.responses[host]
	if !found {
		return r.deviation("no answer is on its way")
	}
	r.writer.Answered(r.now, r.puts[host], response)
	return "taken"
}

func (r *replay) acknowledge() string {
	action := r.nextAction()
	if _, ok := action.(session.Acknowledge); ok {
		r.confirmed = true
		return "acknowledged"
	}
	return r.deviation("writer does not acknowledge: %T", action)
}

func (r *replay) get(t *testing.T, k int) string {
	response := r.keepers[k].Get(r.now, &fleetpb.GetRequest{Session: session.Message(name(1))})
	if !response.GetAuthoritative() {
		return r.deviation("keeper has no authority")
	}
	got := session.PositionOf(response.GetPosition())
	if r.confirmed {
		require.True(t, got.Covers(r.committed), "the position must cover the acknowledged write")
	}
	return "answers " + got.String()
}

func (r *replay) step(t *testing.T, line string) string {
	var verb string
	var a, b, c int
	_, _ = fmt.Sscan(line+" 0 0 0", &verb, &a, &b, &c)
	switch verb {
	case "epoch":
		r.epoch, r.settled = ident.Epoch(a), false
		r.startEpoch(r.epoch)
		return "named"
	case "settle":
		r.settled = true
		return "settled"
	case "sync":
		return r.sync(a, ident.Epoch(b), c == 1)
	case "lapse":
		if a == 2 {
			r.writerLease = 0
		} else {
			r.keepers[a].SetLease(0)
		}
		return "lease ends"
	case "restart":
		r.incarnation[a]++
		r.reading[a] = 0
		r.start(a)
		return "empty table"
	case "read":
		return r.readFloor(a)
	case "floor":
		return r.setFloor(a)
	case "commit":
		r.committed = at(1)
		r.writer = session.NewWriter(name(1), r.committed, forever)
		return "committed at " + r.committed.String()
	case "put":
		return r.put(a)
	case "answer":
		return r.answer(a)
	case "acknowledge":
		return r.acknowledge()
	case "get":
		return r.get(t, a)
	}
	t.Fatalf("unknown step %q", line)
	return ""
}

// Guards invariant 1 against Go code without a rule that models/session.pml shows to be necessary. In each counterexample the
// Go code must deviate from the trace, and no read may miss an acknowledged write.
func TestReplayOfCounterexamples(t *testing.T) {
	traces, err := filepath.Glob("testdata/replay/*.trace")
	require.NoError(t, err)
	require.NotEmpty(t, traces)
	for _, path := range traces {
		variant := strings.TrimSuffix(filepath.Base(path), ".trace")
		t.Run(variant, func(t *testing.T) {
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			r := newReplay()
			for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
				r.now++
				_, _ = fmt.Fprintf(r, "%-14s %s\n", line, r.step(t, line))
			}
			require.Positive(t, r.deviations, "the Go code follows the whole trace of the broken variant")
			goldie.New(t, goldie.WithFixtureDir("testdata/replay")).Assert(t, variant, r.Bytes())
		})
	}
}
