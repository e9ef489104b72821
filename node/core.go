package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/fleet/store"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/node/core"
	"tamarackshunt.dev/platform/api"
	"tamarackshunt.dev/platform/machine"
)

const (
	// identifyInterval is the interval of requests for a seed's name at the first start, and identifyTimeout bounds one request.
	identifyInterval = 100 * time.Millisecond
	identifyTimeout  = 500 * time.Millisecond
	// closeTimeout bounds the transfer of the leadership at shutdown.
	closeTimeout = time.Second
	// restartDelay is the delay before a failed core is started again.
	restartDelay = 500 * time.Millisecond
	// logFolder is the folder of the core's log within the data folder.
	logFolder = "core"
)

var restarts = metrics.NewCounter("tamarack_core_part_restarts_total")

// corePart runs the role of a core host.
type corePart struct {
	file       *settingsFile
	peers      *peer.Network
	ownAddress string
	folder     string
	background background
	// peerHandler serves the calls of other hosts, and platformHandler those of the platform.
	peerHandler, platformHandler replaceableHandler
	// done is closed when supervise has returned.
	done chan struct{}
}

func startCore(file *settingsFile) (part, error) {
	s := file.current()
	if s.Control == "" || s.Folder == "" {
		return nil, trace.BadParameter("listen.control and data_dir are missing")
	}
	limitMemory(s.MemoryMB)
	limits, _, err := callerLimits(&s)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if s.Callers.Limits.Peers == 0 {
		// A core process has no sessions, and every entry host keeps connections to it.
		limits.Peers += limits.Sessions
	}
	listeners := &listeners{limiter: gate.New(limits), limits: limits}
	p := &corePart{
		file: file, peers: peer.New(peer.Options{Trusted: true}), ownAddress: address(s.IP, s.FirstPort+portOffsetCore),
		folder: filepath.Join(s.Folder, logFolder), background: newBackground(), done: make(chan struct{}),
	}
	// The listeners start before the core: other hosts ask for this host's name before the log can be bootstrapped.
	p.serveStarting(&s)
	if err := listeners.peers(p.ownAddress, peer.TrustedHandler(&p.peerHandler)); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := listeners.calls("control", s.Control, &p.platformHandler); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := listeners.metrics(address(s.IP, portCoreMetrics)); err != nil {
		return nil, trace.Wrap(err)
	}
	go p.supervise(&s)
	return p, nil
}

// serveStarting sets the handlers for the time without a running core: they serve the host's name and refuse all other calls.
func (p *corePart) serveStarting(s *machine.Settings) {
	p.peerHandler.set(fleetpb.NewCoreServer(identityService{host: string(s.Host), peer: p.ownAddress}))
	p.platformHandler.set(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, errStarting.Msg(), http.StatusServiceUnavailable)
	}))
}

// supervise runs the core until shutdown and restarts it after a failure, because a disk that refuses writes may accept them
// later. It clears a data folder that is unusable or belongs to a removed member.
func (p *corePart) supervise(s *machine.Settings) {
	defer close(p.done)
	for p.background.context.Err() == nil {
		err := p.runOnce(s)
		p.serveStarting(s)
		if p.background.context.Err() != nil {
			return
		}
		klog.ErrorS(nil, "Core part ended", "host", s.Host, "reason", trace.UserMessage(err))
		restarts.Inc()
		if isFolderUnusable(err) {
			klog.InfoS("Data folder cleared, the host joins as a new member", "folder", p.folder)
			// The fleet's log exists by now, even if the settings asked for a bootstrap when the process started.
			s.Bootstrap = false
			if err := os.RemoveAll(p.folder); err != nil {
				klog.ErrorS(err, "Data folder not cleared", "folder", p.folder)
			}
		}
		// If the context ended during the wait, the loop's condition ends the loop.
		_ = steady.Wait(p.background.context, restartDelay)
	}
}

// runOnce runs the core until it stops and returns the reason.
func (p *corePart) runOnce(s *machine.Settings) error {
	initialHosts, bootstrap := p.initialHosts(s)
	if err := p.background.context.Err(); err != nil {
		return trace.Wrap(err)
	}
	platform := api.NewClient(s.Platform, s.Host)
	running, err := core.New(core.Options{
		Host: s.Host, Peer: p.ownAddress, Zone: s.Zone, Region: s.Region, Losses: s.Losses, CatchUp: s.CatchUp,
		InitialHosts: initialHosts, Bootstrap: bootstrap, Folder: p.folder, Peers: p.peers,
		Seed: uint64(time.Now().UnixNano()), Protocol: newUpstream, Promoter: platform, Usage: usageOptions(s, platform), Parse: parse,
		Seeds: p.file.seeds, Overrun: limit.Overrun{Window: s.QuotaWindow, Fraction: s.QuotaOverrun, Slack: s.QuotaSlack},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	p.peerHandler.set(running.Handler())
	p.platformHandler.set(api.NewHandler(running))
	err = running.Run(p.background.context)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if closeErr := running.Close(ctx); err == nil {
		err = closeErr
	}
	return trace.Wrap(err)
}

// usageOptions returns the options of the reports of usage, or nil if the settings do not ask for them.
func usageOptions(s *machine.Settings, platform core.UsagePlatform) *core.UsageOptions {
	if s.Usage == nil {
		return nil
	}
	return &core.UsageOptions{Platform: platform, Window: s.Usage.Window, Late: s.Usage.Late, Lease: s.Usage.Lease}
}

// isFolderUnusable reports whether an error means that the data folder stays unusable, however often the core is restarted.
func isFolderUnusable(err error) bool {
	var corrupt *store.CorruptError
	var truncated *store.TruncatedError
	var missing *store.MissingError
	var owner *store.OwnerError
	var removed *core.RemovedError
	return errors.As(err, &corrupt) || errors.As(err, &truncated) || errors.As(err, &missing) || errors.As(err, &owner) || errors.As(err, &removed)
}

// initialHosts returns the hosts that bootstrap the log. It asks each seed for its host name, because all of them need the same
// list. If the settings ask for no bootstrap or the log exists already, bootstrap is false and the hosts are the seeds, which
// may be members of the log, with their addresses in place of names.
func (p *corePart) initialHosts(s *machine.Settings) (hosts []*fleetpb.ControlHost, bootstrap bool) {
	entries, err := os.ReadDir(p.folder)
	if bootstrap = s.Bootstrap && (err != nil || len(entries) == 0); !bootstrap {
		for _, seed := range p.file.seeds() {
			hosts = append(hosts, &fleetpb.ControlHost{Host: seed, Peer: seed})
		}
		return hosts, false
	}
	for _, seed := range p.file.seeds() {
		hosts = append(hosts, p.identify(s, seed))
	}
	return hosts, true
}

// identify requests the name of a seed until it answers. If this host is shut down first, it returns the address as the
// name.
func (p *corePart) identify(s *machine.Settings, seed string) *fleetpb.ControlHost {
	if seed == p.ownAddress {
		return &fleetpb.ControlHost{Host: string(s.Host), Peer: p.ownAddress}
	}
	client := fleetpb.NewCoreProtobufClient(p.peers.URL(seed), p.peers.Client(identifyTimeout))
	for p.background.context.Err() == nil {
		answer, err := client.Identify(p.background.context, &fleetpb.IdentifyRequest{})
		if err == nil {
			return &fleetpb.ControlHost{Host: answer.GetHost(), Peer: answer.GetPeer()}
		}
		klog.V(1).InfoS("Seed not identified", "seed", seed, "reason", trace.UserMessage(err))
		_ = steady.Wait(p.background.context, identifyInterval)
	}
	return &fleetpb.ControlHost{Host: seed, Peer: seed}
}

func (p *corePart) failed() <-chan struct{} { return p.done }

func (p *corePart) err() error { return nil }

func (p *corePart) shutdown(time.Time) {
	p.background.cancel()
	<-p.done
}

// replaceableHandler is an HTTP handler that can be replaced while it serves.
type replaceableHandler struct{ handler atomic.Pointer[http.Handler] }

func (s *replaceableHandler) set(handler http.Handler) { s.handler.Store(&handler) }

// ServeHTTP implements http.Handler.
func (s *replaceableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*s.handler.Load()).ServeHTTP(w, r)
}
