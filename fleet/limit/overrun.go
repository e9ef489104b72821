package limit

import "time"

// Overrun is what a team may run beyond its rate and burst in any Window over the whole fleet: the Fraction of what rate and
// burst allow in the window, plus Slack operations. The zero value allows none.
//
// Two parts of it are given out: the reserves of hosts, which spend them while no owner responds, and the advance of a new owner,
// which lends it while its buckets have not refilled yet.
type Overrun struct {
	Window   time.Duration
	Fraction float64
	Slack    int64
}

const (
	// reserveShare and advanceShare divide the overrun between the hosts' reserves and the advance.
	reserveShare = 5.0 / 8
	advanceShare = 1 - reserveShare
	// soleAdvanceShare is the share of the advance where hosts have no reserve. The rest is for operations that run twice because
	// an answer was lost.
	soleAdvanceShare = 3.0 / 4
	// unknownHosts is added to the number of hosts that share the reserves, for hosts that are not in the directory yet.
	unknownHosts = 2
)

// tokens returns the number of tokens that a team may spend beyond a rule in one window.
func (o Overrun) tokens(rule Rule) float64 {
	allowed := float64(rule.Rate)*o.Window.Seconds() + float64(rule.Burst)
	return allowed*o.Fraction + float64(o.Slack)
}

// Reserve returns the part of one of a number of hosts that are known to share the reserves.
func (o Overrun) Reserve(rule Rule, hosts int) Reserve {
	if o.Window <= 0 {
		return Reserve{}
	}
	return Reserve{Tokens: int64(o.tokens(rule) * reserveShare / float64(hosts+unknownHosts)), Window: o.Window}
}

// WholeAdvance is the whole of the advance in percent. An owner that follows one whose loans are still out takes continuedAdvance of it
// at most, so that some is left for one that follows the loss of all owners and hosts soon after.
const (
	WholeAdvance     = 100
	continuedAdvance = 25
)

// AdvanceShare returns the percent of the advance that a new owner takes while some of it is out. A restarted owner is one whose process
// was started lately, as after a loss of power.
func AdvanceShare(out uint32, restarted bool) uint32 {
	left := WholeAdvance - min(out, WholeAdvance)
	if restarted {
		return left
	}
	return min(left, continuedAdvance)
}

// Advance returns the tokens that new owners may lend beyond the rule, in one window. The number of hosts that share the reserves
// may differ from host to host; those that know only half of them must not have a reserve if the advance is to be larger.
func (o Overrun) Advance(rule Rule, hosts int) int64 {
	if o.Window <= 0 {
		return 0
	}
	share := advanceShare
	if hosts > 0 && o.Reserve(rule, hosts/2).Tokens == 0 {
		share = soleAdvanceShare
	}
	return int64(o.tokens(rule) * share)
}
