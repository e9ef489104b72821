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
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/fleet/store"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/node/core"
	"tamarackshunt.dev/platform/api"
	"tamarackshunt.dev/platform/machine"
)

const (
	// identifyEvery is the interval of questions to the seeds at the first start, identifyTimeout bounds one.
	identifyEvery   = 100 * time.Millisecond
	identifyTimeout = 500 * time.Millisecond
	// closeTimeout bounds the handing over of the leadership at shutdown.
	closeTimeout = time.Second
	// restartPause is the time after which a part that has failed is started again.
	restartPause = 500 * time.Millisecond
	// logFolder is the core's part of the data folder.
	logFolder = "core"
)

var restarts = metrics.NewCounter("tamarack_core_part_restarts_total")

// corePart is a running core host.
type corePart struct {
	file       *settingsFile
	peers      *peer.Network
	own        string
	folder     string
	background background
	// inner serves other hosts, outer the platform.
	inner, outer switched
	// ended is closed when the host has stopped for good.
	ended chan struct{}
}

func startCore(file *settingsFile) (part, error) {
	s := file.current()
	if s.Control == "" || s.Folder == "" {
		return nil, trace.BadParameter("listen.control and data_dir are missing")
	}
	limitMemory(s.MemoryMB)
	p := &corePart{
		file: file, peers: peer.New(peer.Options{Trusted: true}), own: address(s.IP, s.FirstPort+portCore),
		folder: filepath.Join(s.Folder, logFolder), background: newBackground(), ended: make(chan struct{}),
	}
	// The handlers start without a core: other hosts ask for this one's name before the log can be founded.
	p.idle(&s)
	if err := serve(p.own, peer.TrustedHandler(&p.inner)); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := serve(s.Control, &p.outer); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := serveMetrics(address(s.IP, portCoreMetrics)); err != nil {
		return nil, trace.Wrap(err)
	}
	go p.supervise(&s)
	return p, nil
}

// idle serves only the host's name.
func (p *corePart) idle(s *machine.Settings) {
	p.inner.set(fleetpb.NewCoreServer(nameOnly{host: string(s.Host), peer: p.own}))
	p.outer.set(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, errStarting.Msg(), http.StatusServiceUnavailable)
	}))
}

// supervise runs the host's part in the core, again after a failure: a disk that refuses writes may take them later, and a
// folder that cannot be used, or that belongs to a member which was removed, gives way to an empty one.
func (p *corePart) supervise(s *machine.Settings) {
	defer close(p.ended)
	for p.background.context.Err() == nil {
		err := p.runOnce(s)
		p.idle(s)
		if p.background.context.Err() != nil {
			return
		}
		klog.ErrorS(nil, "Core part ended", "host", s.Host, "reason", trace.UserMessage(err))
		restarts.Inc()
		if unusable(err) {
			klog.InfoS("Data folder cleared, the host joins as a new member", "folder", p.folder)
			// The log exists, whatever the settings said when the process started.
			s.Bootstrap = false
			if err := os.RemoveAll(p.folder); err != nil {
				klog.ErrorS(err, "Data folder not cleared", "folder", p.folder)
			}
		}
		// The loop's condition ends it when the wait was cut short.
		_ = steady.Wait(p.background.context, restartPause)
	}
}

// runOnce runs the host's part in the core until it ends, and returns why.
func (p *corePart) runOnce(s *machine.Settings) error {
	initialHosts, bootstrap := p.initialHosts(s)
	if err := p.background.context.Err(); err != nil {
		return trace.Wrap(err)
	}
	running, err := core.New(core.Options{
		Host: s.Host, Peer: p.own, InitialHosts: initialHosts, Bootstrap: bootstrap, Folder: p.folder, Peers: p.peers,
		Seed: uint64(time.Now().UnixNano()), Protocol: upstreams, Promoter: api.NewClient(s.Platform, s.Host), Parse: parse, Seeds: p.file.seeds,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	p.inner.set(running.Handler())
	p.outer.set(api.NewHandler(running))
	err = running.Run(p.background.context)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if closed := running.Close(ctx); err == nil {
		err = closed
	}
	return trace.Wrap(err)
}

// unusable reports a data folder that no retry makes usable.
func unusable(err error) bool {
	var corrupt *store.CorruptError
	var truncated *store.TruncatedError
	var missing *store.MissingError
	var owner *store.OwnerError
	var removed *core.RemovedError
	return errors.As(err, &corrupt) || errors.As(err, &truncated) || errors.As(err, &missing) || errors.As(err, &owner) || errors.As(err, &removed)
}

// initialHosts returns the hosts that bootstrap the log, which have to know each other's names; bootstrap is false when the
// log exists already, in which case the hosts are those that may know it.
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

// identify asks a seed for its name until it answers or the host is shut down.
func (p *corePart) identify(s *machine.Settings, seed string) *fleetpb.ControlHost {
	if seed == p.own {
		return &fleetpb.ControlHost{Host: string(s.Host), Peer: p.own}
	}
	client := fleetpb.NewCoreProtobufClient(p.peers.URL(seed), p.peers.Client(identifyTimeout))
	for p.background.context.Err() == nil {
		answer, err := client.Identify(p.background.context, &fleetpb.IdentifyRequest{})
		if err == nil {
			return &fleetpb.ControlHost{Host: answer.GetHost(), Peer: answer.GetPeer()}
		}
		klog.V(1).InfoS("Seed not identified", "seed", seed, "reason", trace.UserMessage(err))
		_ = steady.Wait(p.background.context, identifyEvery)
	}
	return &fleetpb.ControlHost{Host: seed, Peer: seed}
}

func (p *corePart) failed() <-chan struct{} { return p.ended }

func (p *corePart) err() error { return nil }

func (p *corePart) shutdown(time.Time) {
	p.background.cancel()
	<-p.ended
}

// switched is a handler that can be replaced.
type switched struct{ handler atomic.Pointer[http.Handler] }

func (s *switched) set(handler http.Handler) { s.handler.Store(&handler) }

// ServeHTTP implements http.Handler.
func (s *switched) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*s.handler.Load()).ServeHTTP(w, r)
}
