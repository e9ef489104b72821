package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
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
	// logFolder is the core's part of the data folder.
	logFolder = "core"
)

// corePart is a running core host.
type corePart struct {
	core       *core.Core
	background background
}

func startCore(file *settingsFile) (part, error) {
	s := file.current()
	if s.Control == "" || s.Folder == "" {
		return nil, trace.BadParameter("listen.control and data_dir are missing")
	}
	limitMemory(s.MemoryMB)
	own := address(s.IP, s.FirstPort+portCore)
	peers := peer.New(peer.Options{Secret: fleetSecret})
	// The handlers start without a core: other hosts ask for this one's name before the log can be founded.
	inner := &switched{}
	inner.set(fleetpb.NewCoreServer(nameOnly{host: string(s.Host), peer: own}))
	if err := serve(own, inner); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := serveMetrics(address(s.IP, portCoreMetrics)); err != nil {
		return nil, trace.Wrap(err)
	}
	folder := filepath.Join(s.Folder, logFolder)
	initial, founding := initialHosts(file, peers, &s, folder, own)
	running, err := core.New(core.Options{
		Host: s.Host, Peer: own, Initial: initial, Founding: founding, Folder: folder, Peers: peers,
		Seed: uint64(time.Now().UnixNano()), Promoter: api.NewClient(s.Platform, s.Host), Parse: parse, Seeds: file.seeds,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	inner.set(running.Handler())
	if err := serve(s.Control, api.NewHandler(running)); err != nil {
		return nil, trace.Wrap(err)
	}
	p := &corePart{core: running, background: newBackground()}
	go running.Run(p.background.context)
	return p, nil
}

// initialHosts returns the hosts that found the log, which have to know each other's names; founding is false when the log
// exists already, in which case the hosts are those that may know it.
func initialHosts(file *settingsFile, peers *peer.Network, s *machine.Settings, folder, own string) (hosts []*fleetpb.ControlHost, founding bool) {
	entries, err := os.ReadDir(folder)
	founding = s.Founding && (err != nil || len(entries) == 0)
	if !founding {
		for _, seed := range file.seeds() {
			hosts = append(hosts, &fleetpb.ControlHost{Host: seed, Peer: seed})
		}
		return hosts, false
	}
	client := peers.Client(identifyTimeout)
	for _, seed := range file.seeds() {
		if seed == own {
			hosts = append(hosts, &fleetpb.ControlHost{Host: string(s.Host), Peer: own})
			continue
		}
		for {
			answer, err := fleetpb.NewCoreProtobufClient(peers.URL(seed), client).Identify(context.Background(), &fleetpb.IdentifyRequest{})
			if err == nil {
				hosts = append(hosts, &fleetpb.ControlHost{Host: answer.GetHost(), Peer: answer.GetPeer()})
				break
			}
			klog.V(1).InfoS("Seed not identified", "seed", seed, "reason", trace.UserMessage(err))
			time.Sleep(identifyEvery)
		}
	}
	return hosts, true
}

func (p *corePart) failed() <-chan struct{} { return p.core.Done() }

func (p *corePart) err() error { return p.core.Err() }

func (p *corePart) shutdown(time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	p.background.cancel()
	if err := p.core.Close(ctx); err != nil {
		klog.ErrorS(err, "Core ended with an error")
	}
}

// switched is a handler that can be replaced.
type switched struct{ handler atomic.Pointer[http.Handler] }

func (s *switched) set(handler http.Handler) { s.handler.Store(&handler) }

// ServeHTTP implements http.Handler.
func (s *switched) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*s.handler.Load()).ServeHTTP(w, r)
}
