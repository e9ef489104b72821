package main

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/load/measure"
	"tamarackshunt.dev/load/scenario"
)

// command is one subcommand.
type command struct {
	name, short, long string
	data              any
}

var commands = []command{
	{"fleet", "Start a local fleet and run it until interrupted", `Starts a deployment, applies its configuration, gives a key to each team, waits until it serves, prints a YAML file
with every address, team and key, and runs until SIGINT or SIGTERM.`, &fleetCommand{}},
	{"demo", "Show a failover under load, with a check of the history", `Serves statements of several teams and sessions through a deployment, kills the primary of one service, waits for the
next primary and checks that no acknowledged record is lost or doubled, that no rejected one is there, and that each
session read its own writes. Ends within two minutes.`, &demoCommand{}},
	{"measure", "Print the measures of the design page beside their bounds", `Starts one fleet of a deployment with the delays between its availability zones and takes the measures of section 2 of
the design page on it: idle, reads, failover, zones, rates, fairness. Baselines are printed below each.`, &measureCommand{}},
	{"compare", "Compare statements through the proxy with direct ones", `Runs the same statements directly at a stand-in upstream and through a host, in turns within one run, and prints rates,
latencies, processor time and memory; then what 1, 100 and 2000 idle connections cost.`, &compareCommand{}},
	{"soak", "Cause random failures under load for some time", `Causes failures of hosts, upstreams, disks and links in an order that the seed gives, waits after each until writes
succeed again, and checks the history at the end.`, &soakCommand{}},
	{"capacity", "Measure what a host needs as the fleet grows", `Measures bytes for each sync, processor time and memory of a host and of the control leader at several numbers of hosts,
services, teams, keys, callers, sessions and configuration changes, and prints the slopes.`, &capacityCommand{}},
}

type deploymentOption struct {
	Deployment string `long:"deployment" short:"d" default:"lamparen" description:"built-in deployment or path to a .yaml file"`
	Relays     bool   `long:"relays" description:"add the delays between availability zones, regions and clients"`
}

type fleetCommand struct {
	common
	deploymentOption
}

// Execute runs the command.
func (c *fleetCommand) Execute([]string) error {
	opts, err := c.options(c.Deployment)
	if err != nil {
		return err
	}
	opts.Relays = c.Relays
	// Standard output contains only the YAML document.
	opts.Logf = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	ctx, stop := interruptible()
	defer stop()
	e, err := scenario.Start(ctx, opts)
	if err != nil {
		return err
	}
	defer e.CloseIgnoringError()
	path, err := e.Fleet.WriteRunning()
	if err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	fmt.Printf("%s", data)
	opts.Logf("interrupt to end; the addresses and keys are in %s", path)
	<-ctx.Done()
	return e.Close()
}

type demoCommand struct {
	common
	deploymentOption
	Seed uint64 `long:"seed" default:"1" description:"seed of the sessions' schedules"`
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	opts, err := c.options(c.Deployment)
	if err != nil {
		return err
	}
	opts.Relays = c.Relays
	ctx, stop := interruptible()
	defer stop()
	return scenario.Demo(ctx, opts, c.Seed)
}

type measureCommand struct {
	common
	Seed uint64   `long:"seed" default:"1" description:"seed of the sessions' schedules"`
	Only []string `long:"only" description:"take only this measure; may be repeated"`
	Args struct {
		Deployment string `positional-arg-name:"DEPLOYMENT" description:"built-in deployment or path to a .yaml file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *measureCommand) Execute([]string) error {
	opts, err := c.options(c.Args.Deployment)
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	return measure.Run(ctx, measure.Options{Options: opts, Seed: c.Seed, Out: os.Stdout, Only: c.Only})
}

type smallOption struct {
	Deployment string `long:"deployment" short:"d" default:"small" description:"built-in deployment or path to a .yaml file"`
}

type compareCommand struct {
	common
	smallOption
}

// Execute runs the command.
func (c *compareCommand) Execute([]string) error {
	opts, err := c.options(c.Deployment)
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	return measure.Compare(ctx, opts, os.Stdout)
}

type soakCommand struct {
	common
	smallOption
	Seed     uint64        `long:"seed" default:"1" description:"seed of the failures and the sessions' schedules"`
	Duration time.Duration `long:"duration" default:"2m" description:"time after which no further failure is caused"`
}

// Execute runs the command.
func (c *soakCommand) Execute([]string) error {
	opts, err := c.options(c.Deployment)
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	return scenario.Soak(ctx, opts, scenario.SoakOptions{Seed: c.Seed, Duration: c.Duration})
}

type capacityCommand struct {
	common
	smallOption
}

// Execute runs the command.
func (c *capacityCommand) Execute([]string) error {
	opts, err := c.options(c.Deployment)
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	return measure.Capacity(ctx, opts, os.Stdout)
}
