package launch

import (
	"context"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
)

// maxMetrics is the maximum number of bytes read of an HTTP answer, such as a metrics page.
const maxMetrics = 4 << 20

// Initialize applies the configuration, gives each team a key and waits until each service has a primary and each host is
// ready.
func (f *Fleet) Initialize(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go f.stopOnProcessExit(ctx, stop)
	steps := []func(context.Context) error{f.Apply, f.GiveKeys, f.waitPrimaries, f.WaitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return trace.NewAggregate(err, f.CheckRunning())
		}
	}
	return nil
}

// stopOnProcessExit calls stop when a process isn't running, until ctx ends.
func (f *Fleet) stopOnProcessExit(ctx context.Context, stop func()) {
	for pause(ctx) == nil {
		if f.CheckRunning() != nil {
			stop()
		}
	}
}

func (f *Fleet) waitPrimaries(ctx context.Context) error {
	for _, service := range f.Services() {
		if _, _, err := f.Primary(ctx, service, 0); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the readiness check of every running host succeeds.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, h := range f.Hosts {
		if !h.Running() {
			continue
		}
		err := pollUntil(ctx, func() (bool, error) {
			_, err := get(ctx, "http://"+h.Settings.GetPeer()+"/ready")
			return err == nil, err
		})
		if err != nil {
			return trace.Wrap(err, "%s is not ready", h.Name)
		}
	}
	return nil
}

// Metrics returns the metrics page of a host.
func (h *Host) Metrics(ctx context.Context) (string, error) {
	return get(ctx, "http://"+h.Settings.GetPeer()+"/metrics")
}

// SetFault sets a fault of the stand-in, for instance "lag=500ms" or "freeze=true".
func (s *Standin) SetFault(ctx context.Context, query string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Settings.GetFaults()+"/?"+query, http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = do(request)
	return err
}

func get(ctx context.Context, url string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return do(request)
}

func do(request *http.Request) (string, error) {
	ctx, stop := context.WithTimeout(request.Context(), callTimeout)
	defer stop()
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxMetrics))
	if err != nil {
		return "", trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return "", trace.ConnectionProblem(nil, "%s answered %s", request.URL, response.Status)
	}
	return string(body), nil
}

// Running returns a description of the fleet for other programs: addresses, keys and process ids.
func (f *Fleet) Running() *fleetpb.Running {
	r := &fleetpb.Running{Deployment: f.Deployment.GetName(), Folder: f.Dir, Operator: f.OperatorSettings()}
	for _, h := range f.Hosts {
		s := h.Settings
		r.Hosts = append(r.Hosts, &fleetpb.RunningHost{
			Host: h.Name, Zone: s.GetZone(), Caller: h.Caller, Peer: s.GetPeer(),
			Control: s.GetData() != "", Pid: uint32(h.PID()),
		})
	}
	for _, u := range f.Standins {
		s := u.Settings
		r.Upstreams = append(r.Upstreams, &fleetpb.RunningUpstream{
			Service: s.GetService(), Upstream: u.Name, Zone: s.GetZone(), Address: s.GetListen(),
			Faults: s.GetFaults(), Pid: uint32(u.PID()),
		})
	}
	for _, team := range f.Deployment.GetText().GetTeams() {
		r.Teams = append(r.Teams, &fleetpb.RunningTeam{Team: team.GetName(), Key: f.Keys[team.GetName()]})
	}
	return r
}

// WriteRunning writes the description of the fleet into its folder and returns the path.
func (f *Fleet) WriteRunning() (string, error) {
	path := f.Dir + "/running.yaml"
	return path, writeYAML(path, f.Running())
}
