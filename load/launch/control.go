package launch

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/key"
)

const (
	// callTimeout bounds one call to a host, so that a frozen host doesn't delay the call to the next one for long.
	callTimeout = time.Second
	// pollInterval is the time between checks of a fleet's state.
	pollInterval = 50 * time.Millisecond
)

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollInterval):
		return nil
	}
}

// bearerTransport adds the operators' secret to requests.
type bearerTransport struct{ secret string }

func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.secret)
	return http.DefaultTransport.RoundTrip(r)
}

func (f *Fleet) client(peer string) fleetpb.Control {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.clients[peer] == nil {
		doer := &http.Client{Transport: bearerTransport{f.operator.GetSecret()}, Timeout: callTimeout}
		f.clients[peer] = fleetpb.NewControlProtobufClient("http://"+peer, doer)
	}
	return f.clients[peer]
}

// Status returns the status from the control leader; it calls the control hosts until the leader answers or ctx ends.
func (f *Fleet) Status(ctx context.Context) (*fleetpb.StatusResponse, error) {
	var status *fleetpb.StatusResponse
	err := pollUntil(ctx, func() (bool, error) {
		for _, peer := range f.operator.GetControl() {
			answer, err := f.client(peer).Status(ctx, &fleetpb.StatusRequest{})
			if err == nil && answer.GetLeader() == "" && answer.GetLeaderHost() != "" {
				status = answer
				return true, nil
			}
		}
		return false, trace.ConnectionProblem(nil, "no control host answers as leader")
	})
	return status, err
}

// Leader returns the host that is the control leader.
func (f *Fleet) Leader(ctx context.Context) (*Host, error) {
	status, err := f.Status(ctx)
	if err != nil {
		return nil, err
	}
	if h := f.Host(status.GetLeaderHost()); h != nil {
		return h, nil
	}
	return nil, trace.NotFound("leader %q is no host of the fleet", status.GetLeaderHost())
}

// Primary waits until a service has a primary under a higher term than after, and returns the primary and its term.
func (f *Fleet) Primary(ctx context.Context, service string, after uint64) (*Standin, uint64, error) {
	var found *Standin
	var term uint64
	err := pollUntil(ctx, func() (bool, error) {
		status, err := f.Status(ctx)
		if err != nil {
			return false, err
		}
		for _, s := range status.GetServices() {
			if s.GetService() == service && s.GetGroup().GetTerm() > after {
				found, term = f.Standin(s.GetGroup().GetPrimary()), s.GetGroup().GetTerm()
			}
		}
		return found != nil, trace.NotFound("service %q has no primary after term %d", service, after)
	})
	return found, term, err
}

// Operator runs the operators' program tamarack with arguments and returns its output.
func (f *Fleet) Operator(ctx context.Context, args ...string) (string, error) {
	args = append([]string{"--settings", f.OperatorSettings()}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, "tamarack"), args...)
	var out, failure bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &failure
	if err := cmd.Run(); err != nil {
		return out.String(), trace.Wrap(err, "tamarack %s: %s%s", strings.Join(args[2:], " "), out.String(), failure.String())
	}
	return out.String(), nil
}

// Apply applies the configuration in Deployment.Text; it retries with the same id until the leader accepts or refuses it.
func (f *Fleet) Apply(ctx context.Context) error {
	if err := writeYAML(f.TextFile(), f.Deployment.GetText()); err != nil {
		return err
	}
	source, err := os.ReadFile(f.TextFile())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	status, err := f.Status(ctx)
	if err != nil {
		return err
	}
	request := &fleetpb.ApplyRequest{
		Id: newSecret(), Expected: status.GetTextVersion(), Source: source, File: f.TextFile(),
	}
	var answer *fleetpb.ApplyResponse
	err = f.retry(ctx, func(c fleetpb.Control) (bool, error) {
		answer, err = c.Apply(ctx, request)
		return err == nil && answer.GetLeader() == "", err
	})
	if err == nil && !answer.GetAccepted() {
		return trace.Errorf("the configuration was refused: %s", strings.Join(answer.GetProblems(), "; "))
	}
	return err
}

// GiveKeys gives a key to each team that has none.
func (f *Fleet) GiveKeys(ctx context.Context) error {
	for _, team := range f.Deployment.GetText().GetTeams() {
		if f.Keys[team.GetName()] != "" {
			continue
		}
		key, err := f.GiveKey(ctx, team.GetName())
		if err != nil {
			return trace.Wrap(err, "key for team %s", team.GetName())
		}
		f.Keys[team.GetName()] = key
	}
	return nil
}

// GiveKey issues another key to a team and returns it in the form id.secret.
func (f *Fleet) GiveKey(ctx context.Context, team string) (string, error) {
	issued, err := key.Generate(rand.Reader)
	if err != nil {
		return "", trace.Wrap(err)
	}
	hash := issued.Hash()
	request := &fleetpb.GiveKeyRequest{Id: newSecret(), Team: team, Key: string(issued.ID), Hash: hash[:]}
	err = f.changeKey(ctx, func(c fleetpb.Control) (*fleetpb.KeyResponse, error) { return c.GiveKey(ctx, request) })
	return issued.Plaintext(), err
}

// WithdrawKey revokes a key in the form id.secret.
func (f *Fleet) WithdrawKey(ctx context.Context, key string) error {
	id, _, _ := strings.Cut(key, ".")
	request := &fleetpb.WithdrawKeyRequest{Id: newSecret(), Key: id}
	return f.changeKey(ctx, func(c fleetpb.Control) (*fleetpb.KeyResponse, error) { return c.WithdrawKey(ctx, request) })
}

func (f *Fleet) changeKey(ctx context.Context, call func(fleetpb.Control) (*fleetpb.KeyResponse, error)) error {
	var answer *fleetpb.KeyResponse
	err := f.retry(ctx, func(c fleetpb.Control) (bool, error) {
		var err error
		answer, err = call(c)
		return err == nil && answer.GetLeader() == "", err
	})
	if err == nil && !answer.GetDone() {
		return trace.Errorf("the key change was refused: %s", answer.GetProblem())
	}
	return err
}

// retry calls the control hosts in turn until call returns true or ctx ends.
func (f *Fleet) retry(ctx context.Context, call func(fleetpb.Control) (bool, error)) error {
	return pollUntil(ctx, func() (bool, error) {
		var last error
		for _, peer := range f.operator.GetControl() {
			done, err := call(f.client(peer))
			if done {
				return true, nil
			}
			if err != nil {
				last = err
			}
		}
		return false, last
	})
}

// VoterIDs returns the member ids of the voters.
func (f *Fleet) VoterIDs(ctx context.Context) ([]string, error) {
	status, err := f.Status(ctx)
	return status.GetVoterIds(), err
}

// WaitReplaced waits until a control host is a voter with a member id that isn't among the earlier ones.
func (f *Fleet) WaitReplaced(ctx context.Context, host string, earlier []string) error {
	return pollUntil(ctx, func() (bool, error) {
		status, err := f.Status(ctx)
		if err != nil {
			return false, err
		}
		for i, name := range status.GetVoters() {
			if name == host && !slices.Contains(earlier, status.GetVoterIds()[i]) {
				return true, nil
			}
		}
		return false, trace.NotFound("%s has no new vote; voters are %v", host, status.GetVoterIds())
	})
}

// Report returns the control leader's report.
func (f *Fleet) Report(ctx context.Context) (string, error) {
	text := ""
	err := f.retry(ctx, func(c fleetpb.Control) (bool, error) {
		answer, err := c.Report(ctx, &fleetpb.ReportRequest{})
		text = answer.GetText()
		return err == nil && answer.GetLeader() == "", err
	})
	return text, err
}
