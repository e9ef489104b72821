package limit_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// Scale of models/slices.pml: a tick is half of a lifetime, and each tick adds one token.
const (
	tick  = ident.Time(limit.Lifetime / 2)
	burst = 3
	rate  = 4
)

// replay runs the steps of a counterexample of models/slices.pml with the Go owner and borrowers. Reports are taken
// from the trace, since a borrower decides by itself which tokens it returns.
type replay struct {
	bytes.Buffer
	now         ident.Time
	owner       *limit.Owner
	borrowers   [2]*limit.Borrower
	incarnation [2]ident.Incarnation
	requests    [2]*fleetpb.BorrowRequest
	responses   [2]*fleetpb.BorrowResponse
	loans       [2]uint64
	taken       [2]limit.Receipt // of the tokens of operations that do not run
	// allowance is a token bucket with the rule's rate and burst. It has a token at every spending exactly if no
	// window exceeds them.
	allowance  int
	deviations int
}

func newReplay() *replay {
	r := &replay{allowance: burst}
	r.changeOwner(-100 * tick)
	for i := range r.borrowers {
		r.startBorrower(i)
	}
	return r
}

func (r *replay) changeOwner(since ident.Time) {
	r.owner = limit.NewOwner(limit.OwnerOptions{Since: since})
	r.owner.SetRules(since, map[ident.Team]limit.Rule{"stalls": {Rate: rate, Burst: burst}})
}

func (r *replay) startBorrower(i int) {
	r.borrowers[i] = limit.NewBorrower(limit.BorrowerOptions{Host: host(i), Incarnation: r.incarnation[i]})
}

func host(i int) ident.Host { return ident.Host(fmt.Sprint("entry", i)) }

func (r *replay) deviation(format string, args ...any) string {
	r.deviations++
	return "DIFFERS: " + fmt.Sprintf(format, args...)
}

// take spends a token; a request that would have to wait is cancelled.
func (r *replay) take(i int) (limit.Receipt, bool) {
	decision, _ := r.borrowers[i].Take(r.now, limit.Request{Team: "stalls"}, r.now+tick)
	if w, ok := decision.(limit.Wait); ok {
		r.borrowers[i].Cancel("stalls", w.ID)
		return limit.Receipt{}, false
	}
	return decision.(limit.Spent).Receipt, true
}

// request makes the borrower send a borrow request for three waiting requests, and cancels these, so that the tokens
// stay unspent.
func (r *replay) request(i int) string {
	b := r.borrowers[i]
	var ids []limit.WaiterID
	for range burst {
		decision, _ := b.Take(r.now, limit.Request{Team: "stalls"}, r.now+tick)
		ids = append(ids, decision.(limit.Wait).ID)
	}
	r.requests[i] = b.NextRequest(r.now)
	for _, id := range ids {
		b.Cancel("stalls", id)
	}
	r.loans[i] = r.requests[i].GetSeq()
	return "asks"
}

func (r *replay) lend(i, amount int) string {
	request := proto.Clone(r.requests[i]).(*fleetpb.BorrowRequest)
	request.Wanted = []*fleetpb.Tokens{{Team: "stalls", Amount: uint32(amount), Waiting: uint32(amount)}}
	r.responses[i] = r.owner.Borrow(r.now, request)
	got := 0
	for _, l := range r.responses[i].GetLent() {
		got += int(l.GetAmount())
	}
	if got != amount {
		return r.deviation("lends %d", got)
	}
	return "lends"
}

func (r *replay) receive(i, amount int) string {
	r.borrowers[i].HandleResponse(r.now, r.responses[i])
	if got := r.borrowers[i].Held(r.now, "stalls"); int(got) != amount {
		return r.deviation("holds %d", got)
	}
	return "holds them"
}

func (r *replay) spend(t *testing.T, i int) string {
	if _, spent := r.take(i); !spent {
		return r.deviation("has no token")
	}
	require.Positive(t, r.allowance, "more tokens are spent than burst and rate allow")
	r.allowance--
	return "spends"
}

func (r *replay) deliver(i, held, returned int) string {
	before := r.owner.Balance(r.now, "stalls")
	r.owner.Borrow(r.now, &fleetpb.BorrowRequest{
		Host: string(host(i)), Incarnation: uint64(r.incarnation[i]), Seq: 1 << 20,
		Held:     []*fleetpb.Tokens{{Team: "stalls", Loan: r.loans[i], Amount: uint32(held)}},
		Returned: []*fleetpb.Tokens{{Team: "stalls", Loan: r.loans[i], Amount: uint32(returned)}},
	})
	after := r.owner.Balance(r.now, "stalls")
	return fmt.Sprintf("bucket %d -> %d, lent %d -> %d", before.Bucket, after.Bucket, before.Lent, after.Lent)
}

func (r *replay) step(t *testing.T, line string) string {
	var verb string
	var a, b, c int
	_, _ = fmt.Sscan(line+" 0 0 0", &verb, &a, &b, &c)
	switch verb {
	case "tick":
		r.now += tick
		r.allowance = min(burst, r.allowance+1)
		return fmt.Sprintf("bucket %d", r.owner.Balance(r.now, "stalls").Bucket)
	case "ask":
		return r.request(a)
	case "lend":
		return r.lend(a, b)
	case "receive":
		return r.receive(a, b)
	case "spend":
		return r.spend(t, a)
	case "return":
		// The token leaves the borrower although no request runs.
		if _, taken := r.take(a); !taken {
			return r.deviation("has no token")
		}
		return "gives one back"
	case "take":
		receipt, taken := r.take(a)
		if !taken {
			return r.deviation("has no token")
		}
		r.taken[a] = receipt
		return "takes one"
	case "undo":
		if _, undone := r.borrowers[a].Refund(r.now, r.taken[a]); !undone {
			return r.deviation("does not put it back")
		}
		return "puts it back"
	case "report":
		r.borrowers[a].NextRequest(r.now)
		return "on its way"
	case "lose":
		return "on its way"
	case "deliver":
		return r.deliver(a, b, c)
	case "restart":
		r.incarnation[a]++
		r.startBorrower(a)
		return "no tokens"
	case "change":
		r.changeOwner(r.now)
		return "empty bucket"
	}
	t.Fatalf("unknown step %q", line)
	return ""
}

// Guards invariant 7 against Go code that lacks a rule which models/slices.pml shows to be necessary. In each
// counterexample the Go code must deviate from the trace in some step, and no window may exceed rate and burst.
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
				_, _ = fmt.Fprintf(r, "%-14s %s\n", line, r.step(t, line))
			}
			require.Positive(t, r.deviations, "the Go code takes every step of the broken variant")
			goldie.New(t, goldie.WithFixtureDir("testdata/replay")).Assert(t, variant, r.Bytes())
		})
	}
}
