package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/settings"
	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/server"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

const (
	// leaveTime is the time after which no host sends new work to a leaving upstream.
	leaveTime = 4 * time.Second
	// leaveLimit is the maximum wait for a planned switchover from a leaving primary to another upstream.
	leaveLimit = 20 * time.Second
	leavePoll  = 50 * time.Millisecond
	// faultHeaderLimit is the maximum time to read the headers of a request to the fault address, where tests inject faults.
	faultHeaderLimit = 5 * time.Second
)

type options struct {
	Settings string `long:"settings" short:"s" required:"true" description:"YAML settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(exitFailure)
	}
}

func run(opts options) error {
	var s fleetpb.StandinSettings
	if err := settings.Read(opts.Settings, &s); err != nil {
		return trace.Wrap(err)
	}
	calls, err := certificate.NewHosts(s.GetTls())
	if err != nil {
		return trace.Wrap(err, "%s", opts.Settings)
	}
	if opts.Check {
		return nil
	}
	go renew(calls)
	l, err := openLedger(s.GetData())
	if err != nil {
		return trace.Wrap(err)
	}
	faults := server.NewFaults(s.GetLag().AsDuration())
	srv := server.New(server.Options{
		Upstream: s.GetUpstream(), User: s.GetUser(), Password: s.GetPassword(),
		Slots: int(s.GetSlots()), Connections: int(s.GetConnections()),
		Opening: s.GetOpening().AsDuration(), Work: s.GetWork().AsDuration(),
		Ledger: l, Faults: faults,
	})
	defer srv.Close()
	listener, err := net.Listen("tcp", s.GetListen())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := serveFaults(s.GetFaults(), faults); err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	announcer := server.NewAnnouncer(calls, s.GetHosts(), s.GetAnnounce(), server.Announcement{
		Service: s.GetService(), Upstream: s.GetUpstream(), Address: cmp.Or(s.GetAddress(), listener.Addr().String()),
		Zone: s.GetZone(), Region: s.GetRegion(),
	}, faults)
	if len(s.GetHosts()) > 0 {
		go announcer.Run(ctx)
	}
	go leave(srv, announcer)
	klog.Infof("upstream %s of %s listens on %s", s.GetUpstream(), s.GetService(), listener.Addr())
	return trace.Wrap(srv.Serve(listener))
}

// openLedger reads the record file, which stays open until the process ends.
func openLedger(path string) (*ledger.Ledger, error) {
	if path == "" {
		return ledger.New(nil, nil), nil
	}
	file, entries, err := ledger.OpenFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ledger.New(entries, file), nil
}

func serveFaults(address string, faults *server.Faults) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	srv := &http.Server{Handler: faults, ReadHeaderTimeout: faultHeaderLimit}
	go func() { klog.Error(srv.Serve(listener)) }()
	return nil
}

// renew reloads the certificates on each SIGHUP.
func renew(calls *certificate.Hosts) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		if err := calls.Reload(); err != nil {
			klog.Errorf("certificates not renewed, the former ones stay in use: %s", trace.UserMessage(err))
			continue
		}
		klog.Info("certificates renewed")
	}
}

// leave waits for a signal, announces the upstream as leaving, and closes the server once the upstream is a replica without
// work and no host sends new work to it, or after leaveLimit. A second signal closes the server at once.
func leave(srv *server.Server, announcer *server.Announcer) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	if len(announcer.Hosts) == 0 {
		srv.Close()
		return
	}
	klog.Info("leaving")
	announcer.Leave()
	start := time.Now()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
			srv.Close()
			return
		case <-ticker.C:
		}
		since := time.Since(start)
		if since > leaveLimit || since > leaveTime && srv.Idle() {
			srv.Close()
			return
		}
	}
}
