package launch

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"buf.build/go/protoyaml"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/settings"
)

const (
	// secretBytes is the length of generated secrets before hexadecimal encoding.
	secretBytes = 32
	// grace is the time that hosts give running transactions at shutdown.
	grace = 5 * time.Second
)

// ReadDeployment reads and checks a deployment file.
func ReadDeployment(path string) (*fleetpb.Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseDeployment(path, data)
}

// ParseDeployment checks a deployment in YAML; path names the source in errors.
func ParseDeployment(path string, data []byte) (*fleetpb.Deployment, error) {
	var d fleetpb.Deployment
	if err := settings.Parse(path, data, &d); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := checkDeployment(path, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

func checkDeployment(path string, d *fleetpb.Deployment) error {
	zones := regions(d)
	names := make(map[string]bool)
	controls := 0
	for i, host := range d.GetHosts() {
		if zones[host.GetZone()] == "" {
			return trace.BadParameter("%s: hosts[%d].zone: unknown zone %q, expected one of text.zones", path, i, host.GetZone())
		}
		if names[host.GetHost()] {
			return trace.BadParameter("%s: hosts[%d].host: %q is named twice", path, i, host.GetHost())
		}
		names[host.GetHost()] = true
		if host.GetControl() {
			controls++
		}
	}
	if controls%2 == 0 {
		return trace.BadParameter("%s: hosts: %d hosts have control: true, expected an odd number", path, controls)
	}
	return nil
}

func regions(d *fleetpb.Deployment) map[string]string {
	found := make(map[string]string)
	for _, zone := range d.GetText().GetZones() {
		found[zone.GetName()] = zone.GetRegion()
	}
	return found
}

// plan is everything that New writes into files before it starts a process.
type plan struct {
	hosts    []*fleetpb.HostSettings
	standins []*fleetpb.StandinSettings
	operator *fleetpb.OperatorSettings
	// callers are the addresses for callers by host.
	callers map[string]string
	// relays are the relays to start when the fleet runs with them.
	relays []relayed
}

// relayed is a relay in front of one address of a process; from is empty when several processes connect to it.
type relayed struct {
	address, from, name, target string
}

// makePlan lays out a deployment; addresses are taken in order from free.
func makePlan(d *fleetpb.Deployment, dir string, secrets *fleetpb.Secrets, free []string) *plan {
	p := &plan{operator: &fleetpb.OperatorSettings{Secret: secrets.GetOperator()}, callers: make(map[string]string)}
	take := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	zones := regions(d)
	var control []*fleetpb.ControlHost
	var peers []string
	for _, host := range d.GetHosts() {
		s := &fleetpb.HostSettings{
			Host: host.GetHost(), Zone: host.GetZone(), Region: zones[host.GetZone()],
			Caller: take(), Peer: take(), Secrets: secrets, Grace: durationpb.New(grace),
		}
		if host.GetControl() {
			s.Data = filepath.Join(dir, host.GetHost()+"-data")
			control = append(control, &fleetpb.ControlHost{Host: s.GetHost(), Peer: s.GetPeer(), Zone: s.GetZone()})
			p.operator.Control = append(p.operator.Control, s.GetPeer())
		}
		peers = append(peers, s.GetPeer())
		p.callers[s.GetHost()] = s.GetCaller()
		p.hosts = append(p.hosts, s)
	}
	for _, s := range p.hosts {
		s.Control = control
	}
	for _, service := range d.GetText().GetServices() {
		for i := range int(service.GetUpstreams()) {
			zone := d.GetText().GetZones()[i%len(d.GetText().GetZones())]
			p.standins = append(p.standins, &fleetpb.StandinSettings{
				Upstream: fmt.Sprintf("%s-%d", service.GetName(), i+1), Service: service.GetName(),
				Zone: zone.GetName(), Region: zone.GetRegion(), Listen: take(), Hosts: peers,
				Announce: secrets.GetAnnounce(), User: secrets.GetUser(), Password: secrets.GetPassword(),
				Slots: service.GetSlots(), Connections: service.GetConnections(),
				Lag: d.GetLag(), Opening: d.GetOpening(), Work: d.GetWork(), Faults: take(),
				Data: filepath.Join(dir, fmt.Sprintf("%s-%d.records", service.GetName(), i+1)),
			})
		}
	}
	return p
}

// addRelays puts a relay in front of each address for callers, peers and upstream connections; the relays take over the
// known addresses, and the processes listen on others from free.
func (p *plan) addRelays(free []string) {
	move := func(from, name, address string) string {
		target := free[0]
		free = free[1:]
		p.relays = append(p.relays, relayed{address, from, name, target})
		return target
	}
	for _, s := range p.hosts {
		s.Caller = move(Client, s.GetHost(), s.GetCaller())
		s.Listen = move("", s.GetHost(), s.GetPeer())
	}
	for _, s := range p.standins {
		s.Address = s.GetListen()
		s.Listen = move("", s.GetUpstream(), s.GetListen())
	}
}

// addresses is the number of addresses that a plan and its relays take.
func addresses(d *fleetpb.Deployment) (plain, relays int) {
	hosts, upstreams := len(d.GetHosts()), 0
	for _, service := range d.GetText().GetServices() {
		upstreams += int(service.GetUpstreams())
	}
	return 2*hosts + 2*upstreams, 2*hosts + upstreams
}

func newSecrets() *fleetpb.Secrets {
	return &fleetpb.Secrets{
		Fleet: newSecret(), Operator: newSecret(), Announce: newSecret(), User: "tamarack", Password: newSecret(),
	}
}

func newSecret() string {
	var random [secretBytes]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// write puts a message into a YAML file that only the owner may read.
func write(path string, message proto.Message) error {
	data, err := protoyaml.MarshalOptions{Indent: 2}.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, data, 0o600))
}
