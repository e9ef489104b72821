package launch

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/load/relay"
)

// Client is the name of the load program itself as an end of links of a Network.
const Client = "client"

// startRelays starts the relays of a plan and sets Network, if there are any.
func (f *Fleet) startRelays(relays []relayAddress) error {
	if len(relays) == 0 {
		return nil
	}
	f.Network = relay.NewNetwork(f.sourceProcess, f.linkDelay)
	for _, r := range relays {
		if _, err := f.Network.Listen(r.address, r.from, r.name, r.target); err != nil {
			return err
		}
	}
	return nil
}

// sourceProcess returns the name of the fleet's process that opened a connection, or Client if none of them did.
func (f *Fleet) sourceProcess(accepted net.Conn) string {
	if relay.FromCaller(accepted) {
		return Client
	}
	names := map[int]string{0: Client}
	var pids []int
	for _, process := range f.Processes() {
		if pid := process.PID(); pid != 0 {
			names[pid] = process.Name
			pids = append(pids, pid)
		}
	}
	pid, err := relay.PeerProcess(accepted, pids)
	if err != nil && !trace.IsNotFound(err) {
		klog.ErrorS(err, "source of a connection is not known", "from", accepted.RemoteAddr())
	}
	return names[pid]
}

// linkDelay returns the one-way delay between two processes: half of the round-trip time that the deployment sets.
func (f *Fleet) linkDelay(from, to string) time.Duration {
	delays := f.Deployment.GetDelays()
	if from == Client || to == Client {
		return delays.GetClient().AsDuration() / 2
	}
	a, b := f.zoneOf(from), f.zoneOf(to)
	regionOf := regionByZone(f.Deployment)
	switch {
	case a == b:
		return 0
	case regionOf[a] == regionOf[b]:
		return delays.GetZone().AsDuration() / 2
	}
	return delays.GetRegion().AsDuration() / 2
}

func (f *Fleet) zoneOf(name string) string {
	if h := f.Host(name); h != nil {
		return h.Settings.GetZone()
	}
	if s := f.Standin(name); s != nil {
		return s.Settings.GetZone()
	}
	return ""
}

// Isolate freezes the links between a process and all other processes of the fleet, and returns a function that heals them.
// The load program itself still reaches the process.
func (f *Fleet) Isolate(name string) (heal func()) {
	var links []*relay.Link
	for _, process := range f.Processes() {
		if process.Name != name {
			links = append(links, f.Network.Between(name, process.Name)...)
		}
	}
	for _, link := range links {
		link.Freeze()
	}
	return func() {
		for _, link := range links {
			link.Heal()
		}
	}
}
