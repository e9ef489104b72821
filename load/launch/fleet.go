package launch

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/load/relay"
)

// Options holds what New needs.
type Options struct {
	Deployment *fleetpb.Deployment
	// Bin is the folder that holds the built programs.
	Bin string
	// Dir holds settings, logs and data; empty means a new temporary folder.
	Dir string
	// EditSettings edits the settings before they are written; nil leaves them as they are.
	EditSettings func(hosts []*fleetpb.HostSettings, standins []*fleetpb.StandinSettings)
	// Relays puts relays with the delays of the deployment in front of the processes.
	Relays bool
}

// Host is an entry host of a running fleet.
type Host struct {
	*Process
	Settings *fleetpb.HostSettings
	// Caller is the address for callers: that of a relay when the fleet has relays.
	Caller string
}

// Standin is a stand-in upstream of a running fleet.
type Standin struct {
	*Process
	Settings *fleetpb.StandinSettings
}

// Fleet is a started deployment.
type Fleet struct {
	Deployment *fleetpb.Deployment
	Dir        string
	Hosts      []*Host
	Standins   []*Standin
	// Keys holds the keys by team, after GiveKeys.
	Keys map[string]string
	// Network holds the relays; it is nil without them.
	Network *relay.Network

	bin      string
	operator *fleetpb.OperatorSettings
	clients  map[string]fleetpb.Control
	mutex    sync.Mutex
}

// New writes the settings of a deployment and starts its processes. On failure it ends those that it started.
func New(opts Options) (*Fleet, error) {
	dir := opts.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "tamarack-"+opts.Deployment.GetName()+"-"); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
	}
	plain, relays := addressCount(opts.Deployment)
	free, err := freeAddresses(plain + relays)
	if err != nil {
		return nil, err
	}
	p := newPlan(opts.Deployment, dir, newSecrets(), free)
	if opts.Relays {
		p.addRelays(free[plain:])
	}
	if opts.EditSettings != nil {
		opts.EditSettings(p.hosts, p.standins)
	}
	f := newFleet(opts, dir, p)
	if err := f.writeSettings(); err != nil {
		return nil, err
	}
	if err := f.startRelays(p.relays); err != nil {
		return nil, trace.NewAggregate(err, f.Close())
	}
	for _, process := range f.Processes() {
		if err := process.Start(); err != nil {
			return nil, trace.NewAggregate(err, f.Close())
		}
	}
	return f, nil
}

func newFleet(opts Options, dir string, p *plan) *Fleet {
	f := &Fleet{
		Deployment: opts.Deployment, Dir: dir, bin: opts.Bin, operator: p.operator,
		Keys: make(map[string]string), clients: make(map[string]fleetpb.Control),
	}
	for _, s := range p.hosts {
		f.Hosts = append(f.Hosts, &Host{newProcess(opts.Bin, "tamarack-host", dir, s.GetHost()), s, p.callers[s.GetHost()]})
	}
	for _, s := range p.standins {
		f.Standins = append(f.Standins, &Standin{newProcess(opts.Bin, "tamarack-standin", dir, s.GetUpstream()), s})
	}
	return f
}

func (f *Fleet) writeSettings() error {
	for _, h := range f.Hosts {
		if data := h.Settings.GetData(); data != "" {
			if err := os.MkdirAll(data, 0o700); err != nil {
				return trace.ConvertSystemError(err)
			}
		}
		if err := writeYAML(h.settings, h.Settings); err != nil {
			return err
		}
	}
	for _, s := range f.Standins {
		if err := writeYAML(s.settings, s.Settings); err != nil {
			return err
		}
	}
	if err := writeYAML(f.OperatorSettings(), f.operator); err != nil {
		return err
	}
	return writeYAML(f.TextFile(), f.Deployment.GetText())
}

// OperatorSettings returns the path of the settings file of the operators' program tamarack.
func (f *Fleet) OperatorSettings() string { return filepath.Join(f.Dir, "operator.yaml") }

// TextFile returns the path of the operators' configuration file.
func (f *Fleet) TextFile() string { return filepath.Join(f.Dir, "fleet.yaml") }

// Processes returns all processes, hosts first.
func (f *Fleet) Processes() []*Process {
	all := make([]*Process, 0, len(f.Hosts)+len(f.Standins))
	for _, h := range f.Hosts {
		all = append(all, h.Process)
	}
	for _, s := range f.Standins {
		all = append(all, s.Process)
	}
	return all
}

// Callers returns the hosts' addresses for callers.
func (f *Fleet) Callers() []string {
	var all []string
	for _, h := range f.Hosts {
		all = append(all, h.Caller)
	}
	return all
}

// Services returns the names of the services.
func (f *Fleet) Services() []string {
	var all []string
	for _, s := range f.Deployment.GetText().GetServices() {
		all = append(all, s.GetName())
	}
	return all
}

// Teams returns the names of the teams.
func (f *Fleet) Teams() []string {
	var all []string
	for _, t := range f.Deployment.GetText().GetTeams() {
		all = append(all, t.GetName())
	}
	return all
}

// Host returns the host with a name, or nil.
func (f *Fleet) Host(name string) *Host {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// Standin returns the stand-in upstream with a name, or nil.
func (f *Fleet) Standin(name string) *Standin {
	for _, s := range f.Standins {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Close closes the relays, kills all processes of the fleet and waits until they have ended.
func (f *Fleet) Close() error {
	var failures []error
	if f.Network != nil {
		f.Network.Close()
	}
	for _, process := range f.Processes() {
		if err := process.Kill(); err != nil && !trace.IsNotFound(err) {
			failures = append(failures, err)
		}
	}
	return trace.NewAggregate(failures...)
}

// CheckRunning returns an error with the end of the process's log if a process isn't running.
func (f *Fleet) CheckRunning() error {
	for _, process := range f.Processes() {
		if !process.Running() {
			return trace.Errorf("%s ended with exit code %d; its log %s ends:\n%s",
				process.Name, process.ExitCode(), process.log, process.Log(1024))
		}
	}
	return nil
}

// pollUntil calls check every pollInterval until it returns true or ctx ends.
func pollUntil(ctx context.Context, check func() (bool, error)) error {
	var last error
	for {
		done, err := check()
		if done {
			return nil
		}
		if err != nil {
			last = err
		}
		if ctxErr := pause(ctx); ctxErr != nil {
			return trace.Wrap(errors.Join(ctxErr, last))
		}
	}
}

// RewriteSettings writes the changed Host.Settings of a host to its file, for its next start.
func (f *Fleet) RewriteSettings(h *Host) error {
	return writeYAML(h.settings, h.Settings)
}
