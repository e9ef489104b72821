package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/settings"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

const description = `Runs one host of the fleet.

A host with a caller address in its settings serves callers over the PostgreSQL protocol. A host with a data folder
takes part in the control log. SIGTERM and SIGINT end it gracefully: running transactions finish, idle callers get 57P01.
SIGHUP reads the certificates again.

Exit codes: 0 after a graceful end or a successful --check, 1 after a failure, 2 for wrong usage.`

type options struct {
	Settings flags.Filename `long:"settings" short:"s" required:"true" value-name:"FILE" description:"YAML settings file"`
	Check    bool           `long:"check" description:"check the settings and exit"`
}

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.LongDescription = description
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "tamarack-host:", trace.UserMessage(err))
		os.Exit(exitFailure)
	}
}

func run(opts options) error {
	var s fleetpb.HostSettings
	if err := settings.Read(string(opts.Settings), &s); err != nil {
		return trace.Wrap(err)
	}
	if err := checkSettings(string(opts.Settings), &s); err != nil {
		return err
	}
	if opts.Check {
		if _, err := loadCertificates(&s); err != nil {
			return trace.Wrap(err)
		}
		if _, _, err := callerLimits(s.GetLimits()); err != nil {
			return trace.Wrap(err)
		}
		fmt.Println(opts.Settings, "is valid")
		return nil
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	d, err := build(&s)
	if err != nil {
		return trace.Wrap(err)
	}
	klog.InfoS("host started", "host", s.GetHost(), "caller", s.GetCaller(), "peer", s.GetPeer(), "control", s.GetData() != "")
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				d.reloadCertificates()
				continue
			}
			klog.InfoS("host shutting down", "signal", sig.String())
			d.shutdown()
			return nil
		case <-d.controlLogFailed():
			return trace.Wrap(d.control.replica.Err(), "the control log has failed")
		}
	}
}
