package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/settings"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
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
	var s fleetpb.HostSettings
	if err := settings.Read(opts.Settings, &s); err != nil {
		return trace.Wrap(err)
	}
	return nil
}
