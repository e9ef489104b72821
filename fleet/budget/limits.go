package budget

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Bytes is a size in bytes.
type Bytes int64

// Units of sizes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

const (
	// totalPercent is the part of a process's memory that callers may make it hold. The garbage collector's limit is 70 percent, and
	// the rest up to it is for garbage, connections to upstreams and the parts of the process.
	totalPercent = 40
	// reservePercent is the part of the total that only sessions with little may use, and sharePercent that of one address or team. Half
	// of the total and one large message fit into a share.
	reservePercent = 25
	sharePercent   = 60
	// sessionDivisor gives the share of one session, which is at least minSession.
	sessionDivisor = 8
	// minSession holds the largest message with the copies that are made of it while it runs, and the largest state of a session.
	minSession = 9 * MiB
	// smallSession is what a session may hold out of the reserve.
	smallSession = 64 * KiB
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// One half of the other descriptors is for sessions, and a quarter for calls between hosts. Each further listener has a sixteenth.
	sessionsDivisor  = 2
	peersDivisor     = 4
	listenersDivisor = 16
)

// BaseBytes is what an idle connection costs: its goroutine, its read buffer and its entries in tables.
const BaseBytes = 16 * KiB

// Limits bound what callers may make a process hold.
type Limits struct {
	// Total is the sum over all holders, and Reserve the part of it for holders that stay below smallSession.
	Total, Reserve Bytes
	// Session, Address and Team are the largest shares of one holder, of all holders of one address and of one team.
	Session, Address, Team Bytes
	// Sessions, Peers and Calls are the largest numbers of connections of callers, of other hosts, and of each other listener.
	Sessions, Peers, Calls int
}

// NewLimits returns the limits for a process with an amount of memory and a number of descriptors.
func NewLimits(memory Bytes, descriptors int) Limits {
	total := memory * totalPercent / 100
	sockets := max(descriptors-fileDescriptors, 0)
	l := Limits{Sessions: sockets / sessionsDivisor, Peers: sockets / peersDivisor, Calls: sockets / listenersDivisor}
	l.SetTotal(total)
	return l
}

// PeerListener returns the listener for calls of other hosts. One call may use all
// but the reserve, since a configuration or a state of the log is sent whole.
func (l Limits) PeerListener() Listener {
	return Listener{Name: "peers", Limit: l.Peers, Share: l.Total - l.Reserve}
}

// CallListener returns the listener with a name for HTTP calls; see PeerListener.
func (l Limits) CallListener(name string) Listener {
	return Listener{Name: name, Limit: l.Calls, Share: l.Total - l.Reserve}
}

// With returns the limits with those in place that named sets to more than 0. Shares that it doesn't name follow its total.
func (l Limits) With(named Limits) Limits {
	if named.Total > 0 {
		l.SetTotal(named.Total)
	}
	l.Reserve = cmp.Or(named.Reserve, l.Reserve)
	l.Session = cmp.Or(named.Session, l.Session)
	l.Address = cmp.Or(named.Address, l.Address)
	l.Team = cmp.Or(named.Team, l.Team)
	l.Sessions = cmp.Or(named.Sessions, l.Sessions)
	l.Peers = cmp.Or(named.Peers, l.Peers)
	l.Calls = cmp.Or(named.Calls, l.Calls)
	return l
}

// Unlimited returns limits that nobody reaches.
func Unlimited() Limits {
	const most = math.MaxInt64 / 2
	return Limits{Total: most, Session: most, Address: most, Team: most, Sessions: math.MaxInt, Peers: math.MaxInt, Calls: math.MaxInt}
}

// SetTotal sets the total and the shares that follow from it.
func (l *Limits) SetTotal(total Bytes) {
	l.Total = total
	l.Reserve = total * reservePercent / 100
	l.Address, l.Team = total*sharePercent/100, total*sharePercent/100
	l.Session = max(total/sessionDivisor, min(minSession, total-l.Reserve))
}

// LimitError reports a limit that contradicts another one or admits nobody.
type LimitError struct {
	// Name is the name of the limit: total, reserve, session, address, team or sessions.
	Name   string
	Reason string
}

// Error implements error.
func (e *LimitError) Error() string { return fmt.Sprintf("limit %s: %s", e.Name, e.Reason) }

// Check returns a LimitError unless the limits admit a session that holds the largest message.
func (l Limits) Check() error {
	shares := []struct {
		name  string
		bytes Bytes
	}{{"session", l.Session}, {"address", l.Address}, {"team", l.Team}}
	switch {
	case l.Total <= 0:
		return &LimitError{"total", "must be above 0"}
	case l.Reserve < 0 || l.Reserve >= l.Total:
		return &LimitError{"reserve", "must be below the total"}
	case l.Sessions < 1:
		return &LimitError{"sessions", "must be above 0"}
	}
	for _, share := range shares {
		if share.bytes < smallSession || share.bytes > l.Total {
			return &LimitError{share.name, fmt.Sprintf("must be from %d KiB to the total", smallSession/KiB)}
		}
	}
	return nil
}

const (
	// defaultFirst is the largest first message. Names of databases and keys are far shorter.
	defaultFirst = 64 * KiB
	// defaultState holds the largest message and some short ones, and defaultEntries is far above what a program's source names.
	defaultState   = MiB + 64*KiB
	defaultEntries = 1000
	// The first message is a short one, and the largest message takes this long at 35 KiB a second.
	defaultStart   = 10 * time.Second
	defaultMessage = 30 * time.Second
	defaultAnswer  = 30 * time.Second
)

// SessionLimits bound one session.
type SessionLimits struct {
	// First is the largest first message.
	First Bytes
	// State is the largest sum of the session's values and prepared statements, and Entries their largest number.
	State   Bytes
	Entries int
	// Start bounds the time until the first message has arrived, Message the time from the beginning of a large message to its end, and
	// Answer the time in which the caller takes an answer.
	Start, Message, Answer time.Duration
}

// NewSessionLimits returns the limits that apply unless the settings name others.
func NewSessionLimits() SessionLimits {
	return SessionLimits{
		First: defaultFirst, State: defaultState, Entries: defaultEntries, Start: defaultStart, Message: defaultMessage, Answer: defaultAnswer,
	}
}

// With returns the limits with those in place that named sets to more than 0.
func (l SessionLimits) With(named SessionLimits) SessionLimits {
	return SessionLimits{
		First: cmp.Or(named.First, l.First), State: cmp.Or(named.State, l.State), Entries: cmp.Or(named.Entries, l.Entries),
		Start: cmp.Or(named.Start, l.Start), Message: cmp.Or(named.Message, l.Message), Answer: cmp.Or(named.Answer, l.Answer),
	}
}
