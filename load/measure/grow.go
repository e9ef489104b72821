package measure

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// fakeIncarnation is the incarnation of the simulated hosts.
const fakeIncarnation = 1

// fleetSecret adds the hosts' secret to requests.
type fleetSecret string

func (s fleetSecret) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(s))
	return http.DefaultTransport.RoundTrip(r)
}

// growHosts adds simulated hosts, which only sync, as a host without callers does. They run in this process.
func growHosts(_ context.Context, c *capacity, from, to int) error {
	settings := c.host.Settings
	transport := fleetSecret(settings.GetSecrets().GetFleet())
	client := fleetpb.NewControlProtobufClient("http://"+c.leader.Settings.GetPeer(),
		&http.Client{Transport: transport, Timeout: time.Second})
	for i := from; i < to; i++ {
		request := &fleetpb.SyncRequest{
			Host: fmt.Sprintf("fake-%d", i), Incarnation: fakeIncarnation, Zone: settings.GetZone(), Region: settings.GetRegion(),
			Peer: fmt.Sprintf("127.0.0.1:%d", 1+i),
		}
		go syncPeriodically(c.ctx, client, request)
	}
	return nil
}

func syncPeriodically(ctx context.Context, client fleetpb.Control, request *fleetpb.SyncRequest) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		answer, err := client.Sync(ctx, request)
		if err == nil {
			request.Known = max(request.GetKnown(), answer.GetState().GetVersion())
			if epoch := answer.GetState().GetKeepers().GetEpoch(); epoch > 0 {
				request.AdoptedEpoch = epoch
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func growServices(ctx context.Context, c *capacity, from, to int) error {
	text := c.Fleet.Deployment.GetText()
	for i := from; i < to; i++ {
		pattern := text.GetServices()[0]
		text.Services = append(text.Services, &fleetpb.Service{
			Name: fmt.Sprintf("extra-%d", i), Upstreams: pattern.GetUpstreams(), Slots: pattern.GetSlots(),
			Connections: pattern.GetConnections(), Age: pattern.GetAge(), Deadline: pattern.GetDeadline(),
		})
	}
	return c.Fleet.Apply(ctx)
}

func growTeams(ctx context.Context, c *capacity, from, to int) error {
	text := c.Fleet.Deployment.GetText()
	for i := from; i < to; i++ {
		text.Teams = append(text.Teams, &fleetpb.Team{Name: fmt.Sprintf("extra-%d", i), Rate: 100, Burst: 100})
	}
	return c.Fleet.Apply(ctx)
}

func growKeys(ctx context.Context, c *capacity, from, to int) error {
	for range to - from {
		if _, err := c.Fleet.GiveKey(ctx, c.Fleet.Teams()[0]); err != nil {
			return err
		}
	}
	return nil
}

func growChanges(ctx context.Context, c *capacity, from, to int) error {
	for i := from; i < to; i++ {
		c.Fleet.Deployment.GetText().GetTeams()[0].Burst = uint32(1000 + i)
		if err := c.Fleet.Apply(ctx); err != nil {
			return err
		}
	}
	return nil
}

// caller returns a side that reaches the first service through the observed host, as a user of the first team.
func (c *capacity) caller(user string) side {
	team := c.Fleet.Teams()[0]
	return side{
		name: "proxy", address: c.host.Caller, key: c.Fleet.Keys[team], pid: c.host.PID,
		session: ident.Session{Service: ident.Service(c.Fleet.Services()[0]), Team: ident.Team(team), User: ident.User(user)},
	}
}

func growCallers(ctx context.Context, c *capacity, from, to int) error {
	conns, err := c.caller("idle").open(ctx, to-from)
	if err != nil {
		return err
	}
	go func() {
		<-c.ctx.Done()
		closeAll(conns)
	}()
	return nil
}

// growSessions writes one record for each new user, so that the keepers, the hosts that store the positions of sessions, hold a
// position for each.
func growSessions(ctx context.Context, c *capacity, from, to int) error {
	for i := from; i < to; i++ {
		user := fmt.Sprintf("written%d", i)
		s := c.caller(user)
		conns, err := s.open(ctx, 1)
		if err != nil {
			return err
		}
		_, err = conns[0].Exec(ctx, `INSERT INTO orders (id, team, "user", note) VALUES ($1, $2, $3, '')`,
			user, string(s.session.Team), user)
		closeAll(conns)
		if err != nil {
			return trace.Wrap(err, "writing as %s", user)
		}
	}
	return nil
}
