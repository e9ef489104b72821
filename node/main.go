package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/platform/machine"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

const description = `Runs one process of the fleet on the users' platform.

The role is "entry" for a process that serves callers and "core" for one that keeps the configuration. The settings are the
platform's file; its path stands in TAMARACKSHUNT_CONFIG or in --settings. SIGTERM ends the process gracefully: it reports
itself not ready, ends idle sessions, and gives open transactions half of the grace. SIGHUP reads the settings again.

Exit codes: 0 after a graceful end or a successful --check, 1 after a failure, 2 for wrong usage.`

type options struct {
	Settings flags.Filename `long:"settings" short:"s" value-name:"FILE" description:"settings file of the platform"`
	Check    bool           `long:"check" description:"check the settings and exit"`
	Verbose  int            `long:"verbose" short:"v" default:"0" description:"verbosity of the log"`
	Args     struct {
		Role string `positional-arg-name:"ROLE" description:"entry or core"`
	} `positional-args:"yes" required:"yes"`
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
	if roles[opts.Args.Role] == nil {
		fmt.Fprintf(os.Stderr, "tamarack-node: role %q is neither entry nor core\n", opts.Args.Role)
		os.Exit(exitUsage)
	}
	if err := run(&opts); err != nil {
		fmt.Fprintln(os.Stderr, "tamarack-node:", trace.UserMessage(err))
		os.Exit(exitFailure)
	}
}

// part is a running role of the process.
type part interface {
	// failed returns a channel that is closed when the part has stopped on its own. err returns the reason.
	failed() <-chan struct{}
	err() error
	shutdown(start time.Time)
}

// roles maps the names of roles to the functions that start them.
var roles = map[string]func(*settingsFile) (part, error){"entry": startEntry, "core": startCore}

func run(opts *options) error {
	path := string(opts.Settings)
	if path == "" {
		path = os.Getenv(machine.Variable)
	}
	if path == "" {
		return trace.BadParameter("no settings file: set %s or --settings", machine.Variable)
	}
	file, err := openSettings(path)
	if err != nil {
		return trace.Wrap(err)
	}
	settings := file.current()
	if _, _, err := callerLimits(&settings); err != nil {
		return trace.Wrap(err)
	}
	if opts.Check {
		fmt.Println(path, "is valid")
		return nil
	}
	flush := setLog(opts.Verbose)
	defer flush()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	running, err := roles[opts.Args.Role](file)
	if err != nil {
		return trace.Wrap(err)
	}
	s := file.current()
	klog.InfoS("Started", "role", opts.Args.Role, "host", s.Host, "zone", s.Zone, "seeds", strings.Join(s.Seeds, ","), "founding", s.Bootstrap)
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				file.reload()
				continue
			}
			klog.InfoS("Shutting down", "signal", sig.String())
			running.shutdown(time.Now())
			klog.InfoS("Shut down")
			return nil
		case <-running.failed():
			return trace.Wrap(running.err(), "the host has failed")
		}
	}
}

// background is the context of a part's goroutines, with the function that cancels it.
type background struct {
	context context.Context
	cancel  context.CancelFunc
}

func newBackground() background {
	ctx, cancel := context.WithCancel(context.Background())
	return background{ctx, cancel}
}
