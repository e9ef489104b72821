package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/session"
	"tamarackshunt.dev/host/acknowledge"
	"tamarackshunt.dev/host/allotment"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/controller"
	"tamarackshunt.dev/host/entry"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/host/keeper"
	"tamarackshunt.dev/host/lending"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/observer"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/quota"
	"tamarackshunt.dev/host/rejections"
	"tamarackshunt.dev/host/replica"
	"tamarackshunt.dev/host/routing"
	"tamarackshunt.dev/host/switchover"
	"tamarackshunt.dev/host/tracker"
	"tamarackshunt.dev/host/upstream"
)

// defaultGrace is the time for open transactions to finish at shutdown.
const defaultGrace = 10 * time.Second

// deps holds the parts of one host, which build creates and connects.
type deps struct {
	settings     *fleetpb.HostSettings
	incarnation  ident.Incarnation
	clock        *clock.Clock
	certificates *certificateStores
	peers        *peer.Network
	member       *member.Member
	tracker      *tracker.Tracker
	observer     *observer.Observer
	keeper       *keeper.Node
	quota        *quota.Quota
	pool         *upstream.Pool
	rejections   *rejections.Log
	entry        *entry.Server
	control      *controlRole
	server       *http.Server
	limiter      *gate.Limiter
	limits       budget.Limits
	session      budget.SessionLimits
	listener     net.Listener
	stop         context.CancelFunc
	running      parts
}

// controlRole holds the parts of a host with a data folder.
type controlRole struct {
	controller *controller.Controller
	switchover *switchover.Switchover
	replica    *replica.Replica
}

// build creates and starts all parts of a host.
func build(settings *fleetpb.HostSettings) (*deps, error) {
	certificates, err := loadCertificates(settings)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	limits, session, err := callerLimits(settings.GetLimits())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	limitMemory(settings.GetLimits())
	ctx, stop := context.WithCancel(context.Background())
	d := &deps{
		limiter:      gate.New(limits),
		limits:       limits,
		session:      session,
		settings:     settings,
		certificates: certificates,
		peers: peer.New(peer.Options{
			Secret: settings.GetSecrets().GetFleet(), Certificates: certificates.peer, Control: settings.GetControl(),
		}),
		// A host stores nothing on disk, so the wall clock numbers its starts. The leader accepts a lower number once the lease of
		// the previous start has ended.
		incarnation: ident.Incarnation(time.Now().UnixNano()),
		clock:       clock.New(),
		rejections:  rejections.New(ident.Host(settings.GetHost())),
		stop:        stop,
	}
	d.buildRequestPath()
	if settings.GetData() != "" {
		if err := d.buildControl(); err != nil {
			stop()
			return nil, trace.Wrap(err)
		}
	}
	if err := d.listen(); err != nil {
		stop()
		return nil, trace.Wrap(err)
	}
	if err := d.start(ctx); err != nil {
		stop()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

// buildRequestPath creates the parts that requests of callers depend on, except the entry.
func (d *deps) buildRequestPath() {
	s := d.settings
	fleet := fleetView{d}
	d.tracker = tracker.New(tracker.Options{Clock: d.clock, Peers: d.peers, Observers: fleet.Observers})
	d.observer = observer.New(observer.Options{
		Self: ident.Host(s.GetHost()), Fleet: fleet, Peers: d.peers,
		User: s.GetSecrets().GetUser(), Password: s.GetSecrets().GetPassword(), TLS: d.certificates.upstream,
	})
	d.keeper = keeper.New(keeper.Options{
		Self: session.Member{
			Host: ident.Host(s.GetHost()), Incarnation: d.incarnation, Zone: ident.Zone(s.GetZone()), Peer: s.GetPeer(),
		},
		Fleet: fleet, Peers: d.peers, Zones: []ident.Zone{ident.Zone(s.GetZone())},
	})
	d.quota = quota.New(quota.Options{
		Host: ident.Host(s.GetHost()), Incarnation: d.incarnation, Fleet: fleet, Peers: d.peers,
	})
	d.pool = upstream.NewPool(upstream.Options{
		Credential: upstream.Credential{User: s.GetSecrets().GetUser(), Password: s.GetSecrets().GetPassword(), TLS: d.certificates.upstream},
		Clock:      d.clock,
		View:       fleet.view,
		SyncNow:    func() { d.member.SyncNow() },
	})
}

// buildControl creates the parts of the control role.
func (d *deps) buildControl() error {
	s := d.settings
	role := &controlRole{switchover: switchover.New(switchover.Options{
		Clock: d.clock.Now, User: s.GetSecrets().GetUser(), Password: s.GetSecrets().GetPassword(), TLS: d.certificates.upstream,
	})}
	var err error
	role.controller, err = controller.New(controller.Options{
		Host: ident.Host(s.GetHost()), Secrets: s.GetSecrets(), Clock: d.clock.Now, Peers: d.peers,
		Parts: controller.Parts{Failover: role.switchover, Tokens: lending.New(), Connections: allotment.New()},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	role.replica, err = replica.New(replica.Options{
		Host: ident.Host(s.GetHost()), Peer: s.GetPeer(), InitialHosts: s.GetControl(), Replacement: s.GetReplacement(),
		Folder: s.GetData(), Peers: d.peers, Seed: uint64(d.incarnation),
		Machine: role.controller.Machine(), Clock: d.clock.Now,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	d.control = role
	return nil
}

func (d *deps) listen() error {
	address := d.settings.GetListen()
	if address == "" {
		address = d.settings.GetPeer()
	}
	listener, err := d.peers.Listen(address)
	if err != nil {
		return trace.Wrap(err)
	}
	d.listener = listener
	d.server = d.newServer()
	return nil
}

// handler serves peers, operators, announcements, metrics and the checks of the load balancer on one address.
func (d *deps) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(d.keeper.Handler())
	mux.Handle(fleetpb.ObserverPathPrefix, d.observer.Handler())
	announce := fleetView{d}.announce
	if d.control != nil {
		mux.Handle(fleetpb.ControlPathPrefix, d.control.controller.Handler())
		mux.Handle(fleetpb.QuorumPathPrefix, d.control.replica.Handler())
		announce = d.control.controller.Announce
	}
	mux.Handle("/announce", controller.AnnounceHandler(d.settings.GetSecrets().GetAnnounce(), announce))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if d.entry == nil || !d.entry.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return mux
}

// start starts all parts. The member is created after the parts that its first view is passed to.
func (d *deps) start(ctx context.Context) error {
	if d.control != nil {
		d.control.switchover.Start(d.control.controller.Propose)
		d.control.controller.Start(d.control.replica)
	}
	reports := []member.Reporter{observer.NewReporter(d.observer.Observed, d.clock.Now), d.pool, d.rejections}
	var view func() *member.View
	if d.settings.GetCaller() != "" {
		server, err := d.newEntry(func() *member.View { return view() })
		if err != nil {
			return trace.Wrap(err)
		}
		d.entry = server
		reports = append(reports, server)
	}
	d.member = member.New(member.Options{
		Settings: d.settings, Peers: d.peers, Incarnation: d.incarnation, Clock: d.clock, Reports: reports,
		Adopted: d.adopt,
		Expired: func() { d.pool.Adopt(&member.View{}) },
	})
	view = d.member.View
	d.running.start(ctx, d.observer.Run, d.keeper.Run, d.quota.Run)
	if d.entry != nil {
		d.entry.Start()
	}
	d.running.httpServer.Go(func() {
		if err := d.server.Serve(d.listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "serving peers failed")
		}
	})
	return nil
}

func (d *deps) newEntry(view func() *member.View) (*entry.Server, error) {
	fleet := fleetView{d}
	chooser := routing.New(routing.Options{
		Clock: d.clock, View: view, Changed: fleet.Changed, Tracker: d.tracker, Positions: fleet, Load: d.pool,
		Zone: ident.Zone(d.settings.GetZone()), Region: ident.Region(d.settings.GetRegion()),
	})
	return entry.New(entry.Options{
		Settings: d.settings, Clock: d.clock, View: view, Chooser: chooser, Quota: entryQuota{d.quota}, Pool: d.pool,
		Limiter: d.limiter, Limits: d.session, Callers: d.limits.Sessions,
		Rejected: d.rejections.Add, TLS: d.certificates.caller,
		Ack: acknowledge.New(d.clock, d.tracker, d.keeper),
	})
}

// adopt passes a new view to the parts, before the host reports that it has adopted the view.
func (d *deps) adopt(view *member.View) {
	d.keeper.Adopt(session.Conditions{View: session.NewView(view.Keepers), Lease: view.Expires})
	d.pool.Adopt(view)
	d.rejections.Delivered()
}

// shutdown stops the host without interrupting requests: first it disconnects callers, then it stops the parts that their
// requests use.
func (d *deps) shutdown() {
	grace := d.settings.GetGrace().AsDuration()
	if grace == 0 {
		grace = defaultGrace
	}
	d.member.Leave()
	if d.entry != nil {
		d.entry.Shutdown(grace)
	}
	d.pool.Close()
	d.stop()
	d.running.wait()
	d.tracker.Close()
	d.member.Close()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if d.control != nil {
		d.closeControl(ctx)
	}
	if err := d.server.Shutdown(ctx); err != nil {
		klog.InfoS("shutdown did not wait for all requests of peers", "err", err)
	}
	d.running.httpServer.Wait()
	d.peers.Close()
}

func (d *deps) closeControl(ctx context.Context) {
	d.control.controller.Close()
	d.control.switchover.Close()
	if err := d.control.replica.Close(ctx); err != nil {
		klog.ErrorS(err, "closing the control log failed")
	}
}

// controlLogFailed returns a channel that is closed when the control log stops on its own, for example after a disk
// failure. It is nil without the control role.
func (d *deps) controlLogFailed() <-chan struct{} {
	if d.control == nil {
		return nil
	}
	return d.control.replica.Done()
}
