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
	// shutdownGrace is the time that hosts allow running transactions at shutdown.
	shutdownGrace = 5 * time.Second
)

// ReadDeployment reads and checks a deployment file.
func ReadDeployment(path string) (*fleetpb.Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseDeployment(path, data)
}

// ParseDeployment parses and checks a deployment in YAML; path names the source in errors.
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
	regionOf := regionByZone(d)
	names := make(map[string]bool)
	controlHosts := 0
	for i, host := range d.GetHosts() {
		if regionOf[host.GetZone()] == "" {
			return trace.BadParameter("%s: hosts[%d].zone: unknown zone %q, expected one of text.zones", path, i, host.GetZone())
		}
		if names[host.GetHost()] {
			return trace.BadParameter("%s: hosts[%d].host: %q is named twice", path, i, host.GetHost())
		}
		names[host.GetHost()] = true
		if host.GetControl() {
			controlHosts++
		}
	}
	if controlHosts%2 == 0 {
		return trace.BadParameter("%s: hosts: %d hosts have control: true, expected an odd number", path, controlHosts)
	}
	return nil
}

func regionByZone(d *fleetpb.Deployment) map[string]string {
	byZone := make(map[string]string)
	for _, zone := range d.GetText().GetZones() {
		byZone[zone.GetName()] = zone.GetRegion()
	}
	return byZone
}

// plan holds the settings that New writes into files, and the relays of a fleet.
type plan struct {
	hosts    []*fleetpb.HostSettings
	standins []*fleetpb.StandinSettings
	operator *fleetpb.OperatorSettings
	// callers holds the addresses for callers by host.
	callers map[string]string
	// relays holds the relays to start; addRelays fills it.
	relays []relayAddress
}

// relayAddress describes a relay that listens at address and forwards to target, an address of the process called name. All
// connections come from the process called from, which is empty when several processes connect.
type relayAddress struct {
	address, from, name, target string
}

// newPlan returns the settings of a deployment's processes; it assigns the addresses in free in order.
func newPlan(d *fleetpb.Deployment, dir string, secrets *fleetpb.Secrets, free []string) *plan {
	p := &plan{operator: &fleetpb.OperatorSettings{Secret: secrets.GetOperator()}, callers: make(map[string]string)}
	nextAddress := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	regionOf := regionByZone(d)
	var control []*fleetpb.ControlHost
	var peers []string
	for _, host := range d.GetHosts() {
		s := &fleetpb.HostSettings{
			Host: host.GetHost(), Zone: host.GetZone(), Region: regionOf[host.GetZone()],
			Caller: nextAddress(), Peer: nextAddress(), Secrets: secrets, Grace: durationpb.New(shutdownGrace),
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
				Zone: zone.GetName(), Region: zone.GetRegion(), Listen: nextAddress(), Hosts: peers,
				Announce: secrets.GetAnnounce(), User: secrets.GetUser(), Password: secrets.GetPassword(),
				Slots: service.GetSlots(), Connections: service.GetConnections(),
				Lag: d.GetLag(), Opening: d.GetOpening(), Work: d.GetWork(), Faults: nextAddress(),
				Data: filepath.Join(dir, fmt.Sprintf("%s-%d.records", service.GetName(), i+1)),
			})
		}
	}
	return p
}

// addRelays puts a relay in front of each address for callers, peers and upstream connections. The relays listen on the
// addresses that the settings name, and the processes on other ones from free.
func (p *plan) addRelays(free []string) {
	addRelay := func(from, name, address string) string {
		target := free[0]
		free = free[1:]
		p.relays = append(p.relays, relayAddress{address, from, name, target})
		return target
	}
	for _, s := range p.hosts {
		s.Caller = addRelay(Client, s.GetHost(), s.GetCaller())
		s.Listen = addRelay("", s.GetHost(), s.GetPeer())
	}
	for _, s := range p.standins {
		s.Address = s.GetListen()
		s.Listen = addRelay("", s.GetUpstream(), s.GetListen())
	}
}

// addressCount returns the numbers of addresses that a plan and its relays need.
func addressCount(d *fleetpb.Deployment) (plain, relays int) {
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
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// writeYAML writes a message to a YAML file that only the owner may read.
func writeYAML(path string, message proto.Message) error {
	data, err := protoyaml.MarshalOptions{Indent: 2}.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, data, 0o600))
}
