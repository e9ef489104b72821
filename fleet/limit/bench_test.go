package limit_test

import (
	"fmt"
	"testing"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// BenchmarkBorrower measures the cost of a request by the number of teams, including the requests to the owner.
func BenchmarkBorrower(b *testing.B) {
	for _, teams := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			rules := map[ident.Team]limit.Rule{}
			names := make([]ident.Team, teams)
			for i := range names {
				names[i] = ident.Team(fmt.Sprint("team", i))
				rules[names[i]] = limit.Rule{Rate: 1 << 24, Burst: 1 << 24}
			}
			owner := limit.NewOwner(limit.OwnerOptions{Since: -1 << 50})
			owner.SetRules(-1<<50, rules)
			host := limit.NewBorrower(limit.BorrowerOptions{Host: "entry"})
			// 20,000 requests per second on the host.
			now := ident.Time(0)
			for i := 0; b.Loop(); i++ {
				now += ms / 20
				host.Take(now, limit.Request{Team: names[i%teams]}, now+1000*ms)
				if now >= host.Due() {
					if request := host.NextRequest(now); request != nil {
						host.HandleResponse(now, owner.Borrow(now, request))
					}
				}
			}
		})
	}
}

// BenchmarkOwner measures the cost of one team's part of a borrow request by the number of borrowers, with enough
// tokens for all and with too few.
func BenchmarkOwner(b *testing.B) {
	for _, borrowers := range []int{12, 120, 1200} {
		for _, rate := range []uint32{1 << 24, 100} {
			b.Run(fmt.Sprintf("%d/rate=%d", borrowers, rate), func(b *testing.B) {
				owner := limit.NewOwner(limit.OwnerOptions{Since: -1 << 50})
				owner.SetRules(-1<<50, map[ident.Team]limit.Rule{"stalls": {Rate: rate, Burst: rate}})
				names := make([]string, borrowers)
				for i := range names {
					names[i] = fmt.Sprint("entry", i)
				}
				now := ident.Time(0)
				wanted := []*fleetpb.Tokens{{Team: "stalls", Amount: 20, Waiting: 10}}
				for i := 0; b.Loop(); i++ {
					// Each borrower sends one request per period and reports its last loan as spent.
					now += ident.Time(limit.RequestPeriod) / ident.Time(borrowers)
					seq := uint64(i/borrowers + 1)
					owner.Borrow(now, &fleetpb.BorrowRequest{
						Host: names[i%borrowers], Seq: seq, Wanted: wanted,
						Held: []*fleetpb.Tokens{{Team: "stalls", Loan: seq - 1}},
					})
				}
			})
		}
	}
}
