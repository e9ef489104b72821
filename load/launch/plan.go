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
	var d fleetpb.Deployment
	if err := settings.Read(path, &d); err != nil {
		return nil, trace.Wrap(err)
	}
	return &d, checkDeployment(path, &d)
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
	hosts     []*fleetpb.HostSettings
	standins  []*fleetpb.StandinSettings
	operator  *fleetpb.OperatorSettings
	secrets   *fleetpb.Secrets
	deploying *fleetpb.Deployment
}

// makePlan lays out a deployment; addresses are taken in order from free.
func makePlan(d *fleetpb.Deployment, dir string, secrets *fleetpb.Secrets, free []string) *plan {
	p := &plan{secrets: secrets, deploying: d, operator: &fleetpb.OperatorSettings{Secret: secrets.GetOperator()}}
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
			})
		}
	}
	return p
}

// addresses is the number of addresses that a plan takes.
func addresses(d *fleetpb.Deployment) int {
	n := 2 * len(d.GetHosts())
	for _, service := range d.GetText().GetServices() {
		n += 2 * int(service.GetUpstreams())
	}
	return n
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
