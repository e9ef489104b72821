package main

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/quota"
	"tamarackshunt.dev/node/coreclient"
	"tamarackshunt.dev/node/entry"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/routing"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/api"
)

// borrowPeriod is the interval of calls to the owner of the teams' tokens, which is the core's leader. Most of the calls cross
// regions.
const borrowPeriod = 150 * time.Millisecond

// borrowPrefetch is the number of tokens that a host keeps for a team that has sent it a request within the last second. A team
// sends a few requests a second to one host, and without prefetched tokens each of them would need a call across regions. Nothing is
// kept for a team whose burst is small beside the number of hosts.
const borrowPrefetch = 2

// memoryLimitPercent is the garbage collector's soft memory limit in percent of the process's memory limit.
const memoryLimitPercent = 60

// evacuationGraceDivisor makes the time for which open transactions go on after an evacuation a part of the time that the platform allows.
// The rest is for hosts that learn of the evacuation late, and for statements that were sent just before.
const evacuationGraceDivisor = 2

// entryPart runs the role of an entry host.
type entryPart struct {
	server     *entry.Server
	listener   net.Listener
	background background
	// leave notifies the core that the host is shutting down.
	leave func()
	// flush reports the last counts of usage to the core.
	flush   func(context.Context)
	failure chan struct{}
	cause   error
}

func startEntry(file *settingsFile) (part, error) {
	s := file.current()
	if s.Caller == "" || s.Ready == "" {
		return nil, trace.BadParameter("listen.front and listen.ready are missing")
	}
	limitMemory(s.MemoryMB)
	limits, session, err := callerLimits(&s)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	listeners := &listeners{limiter: gate.New(limits), limits: limits}
	answers, err := listeners.limiter.NewAnswers(limits)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	peers := peer.New(peer.Options{Trusted: true})
	var usage *coreclient.Usage
	var meter upstream.Meter
	if s.Usage != nil {
		usage = coreclient.NewUsage(s.Usage.Window)
		meter = usage
	}
	gatewayCalls := peers.Client(0)
	gatewayCalls.Transport = answers.Transport(gatewayCalls.Transport)
	table := routing.New(routing.Options{
		Host: s.Host, Zone: s.Zone, Region: s.Region, Regions: s.Regions, Protocol: newUpstreamWithin(answers),
		Gateways: gateway.NewClient(gatewayCalls, peers.URL), Meter: meter, EvacuationGrace: s.Evacuation / evacuationGraceDivisor,
	})
	ownAddress := address(s.IP, s.FirstPort+portOffsetEntry)
	incarnation := ident.Incarnation(time.Now().UnixNano())
	var tokens *quota.Quota
	core := coreclient.New(coreclient.Options{
		Host: s.Host, Incarnation: incarnation, Zone: s.Zone, Peer: ownAddress, Seeds: file.seeds, Peers: peers, Table: table, Parse: parse, Usage: usage,
		Overrun:  limit.Overrun{Window: s.QuotaWindow, Fraction: s.QuotaOverrun, Slack: s.QuotaSlack},
		Reserves: func(reserves map[ident.Team]limit.Reserve) { tokens.SetReserves(reserves) },
	})
	tokens = quota.New(quota.Options{Host: s.Host, Incarnation: incarnation, Fleet: core, Peers: peers, Period: borrowPeriod, Prefetch: borrowPrefetch})
	p := &entryPart{background: newBackground(), failure: make(chan struct{})}
	p.server = entry.New(entry.Options{
		Protocol: newCaller, Table: table, Quota: tokens, Grace: s.Grace, Limiter: listeners.limiter, Limits: session, Sessions: limits.Sessions,
	})
	if p.listener, err = net.Listen("tcp4", s.Caller); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	ready := func() bool { return table.Received() && core.Connected() && !p.server.Draining() }
	if err := listeners.calls("ready", s.Ready, api.NewReadyHandler(ready)); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := listeners.metrics(address(s.IP, portEntryMetrics)); err != nil {
		return nil, trace.Wrap(err)
	}
	gateways := gateway.NewServer(table)
	calls := http.NewServeMux()
	calls.Handle("/", core.RelayHandler())
	calls.Handle(fleetpb.GatewayPathPrefix, gateways.Handler())
	if err := listeners.peers(ownAddress, peer.TrustedHandler(calls)); err != nil {
		return nil, trace.Wrap(err)
	}
	p.leave, p.flush = core.Leave, core.Flush
	go gateways.Run(p.background.context)
	go core.Run(p.background.context)
	go tokens.Run(p.background.context)
	go table.Run(p.background.context)
	go func() {
		if err := p.server.Serve(p.listener); err != nil {
			p.cause = err
			close(p.failure)
		}
	}()
	return p, nil
}

func (p *entryPart) failed() <-chan struct{} { return p.failure }

func (p *entryPart) err() error { return p.cause }

func (p *entryPart) shutdown(start time.Time) {
	p.leave()
	p.server.Shutdown(start, p.listener)
	p.flush(p.background.context)
	p.background.cancel()
}

// limitMemory sets a soft memory limit, so that the garbage collector keeps the process below its limit in megabytes.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) << 20 * memoryLimitPercent / 100)
	}
}

func (l *listeners) metrics(listenAddress string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, false) })
	return l.calls("metrics", listenAddress, mux)
}
