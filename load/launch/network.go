package launch

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/load/relay"
)

// Client is the name of the load program itself on links of a Network.
const Client = "client"

// startRelays starts the relays of a plan; none means that the fleet has no Network.
func (f *Fleet) startRelays(relays []relayed) error {
	if len(relays) == 0 {
		return nil
	}
	f.Network = relay.NewNetwork(f.owner, f.delay)
	for _, r := range relays {
		if _, err := f.Network.Listen(r.address, r.from, r.name, r.target); err != nil {
			return err
		}
	}
	return nil
}

// owner names the process of the fleet that a connection comes from; what none of them owns is this program's.
func (f *Fleet) owner(accepted net.Conn) string {
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
	pid, err := relay.Owner(accepted, pids)
	if err != nil && !trace.IsNotFound(err) {
		klog.ErrorS(err, "source of a connection is not known", "from", accepted.RemoteAddr())
	}
	return names[pid]
}

// delay returns the one-way delay between two processes: half of the deployment's round trip.
func (f *Fleet) delay(from, to string) time.Duration {
	delays := f.Deployment.GetDelays()
	if from == Client || to == Client {
		return delays.GetClient().AsDuration() / 2
	}
	a, b := f.zone(from), f.zone(to)
	zones := regions(f.Deployment)
	switch {
	case a == b:
		return 0
	case zones[a] == zones[b]:
		return delays.GetZone().AsDuration() / 2
	}
	return delays.GetRegion().AsDuration() / 2
}

func (f *Fleet) zone(name string) string {
	if h := f.Host(name); h != nil {
		return h.Settings.GetZone()
	}
	if s := f.Standin(name); s != nil {
		return s.Settings.GetZone()
	}
	return ""
}

// Isolate freezes the links between a process and all other processes of the fleet, and returns what heals them. The
// load program itself still reaches the process.
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
