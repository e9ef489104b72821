package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/fleetpb"
)

const (
	// callTimeout limits one call; a leader responds within milliseconds, or after an election of about a second.
	callTimeout = 3 * time.Second
	// retryInterval is the time between two rounds of calls to all control hosts.
	retryInterval = 250 * time.Millisecond
	// maxRedirects limits the calls that start from one address and follow the leaders named in responses, since two hosts
	// may name each other.
	maxRedirects = 4
)

// Options configure a Client.
type Options struct {
	// Control lists peer addresses of control hosts.
	Control []string
	// Secret is the operator secret.
	Secret string
	// Hosts makes the calls; nil means calls without TLS.
	Hosts *certificate.Hosts
}

// Client calls the control leader.
type Client struct {
	options Options
	http    *http.Client
	// leader is the address of the last known leader, which is tried first.
	leader string
}

// NoLeaderError reports that no control leader responded in time. A change that was sent may have been made.
type NoLeaderError struct {
	// Causes maps each address to its last problem.
	Causes map[string]string
}

// Error lists the addresses and their problems.
func (e *NoLeaderError) Error() string {
	lines := []string{"no control leader was reached:"}
	for address, cause := range e.Causes {
		lines = append(lines, "  "+address+": "+cause)
	}
	slices.Sort(lines[1:])
	return strings.Join(lines, "\n")
}

// RefusedError reports a call that a control host refused and that would be refused again.
type RefusedError struct {
	Address string
	Cause   string
}

// Error returns the control host and its reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("control host %s refused: %s", e.Address, e.Cause)
}

// New returns a client, or an error when the certificates cannot be used.
func New(options Options) (*Client, error) {
	if options.Hosts == nil {
		var err error
		if options.Hosts, err = certificate.NewHosts(nil); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &Client{options: options, http: options.Hosts.Client(callTimeout)}, nil
}

// Apply applies a text, the operators' configuration. The request's id makes it idempotent. Apply and the methods below
// return a NoLeaderError when ctx ends before a leader responds, or a RefusedError.
func (c *Client) Apply(ctx context.Context, request *fleetpb.ApplyRequest) (*fleetpb.ApplyResponse, error) {
	return call(ctx, c, fleetpb.Control.Apply, request)
}

// GiveKey activates a key.
func (c *Client) GiveKey(ctx context.Context, request *fleetpb.GiveKeyRequest) (*fleetpb.KeyResponse, error) {
	return call(ctx, c, fleetpb.Control.GiveKey, request)
}

// WithdrawKey revokes a key.
func (c *Client) WithdrawKey(ctx context.Context, request *fleetpb.WithdrawKeyRequest) (*fleetpb.KeyResponse, error) {
	return call(ctx, c, fleetpb.Control.WithdrawKey, request)
}

// Status returns the status of services and hosts under the text in force.
func (c *Client) Status(ctx context.Context) (*fleetpb.StatusResponse, error) {
	return call(ctx, c, fleetpb.Control.Status, &fleetpb.StatusRequest{})
}

// Explain returns recent events about a subject, or all recent events when subject is empty.
func (c *Client) Explain(ctx context.Context, subject string) (*fleetpb.ExplainResponse, error) {
	return call(ctx, c, fleetpb.Control.Explain, &fleetpb.ExplainRequest{Subject: subject})
}

// Report returns the service levels.
func (c *Client) Report(ctx context.Context) (*fleetpb.ReportResponse, error) {
	return call(ctx, c, fleetpb.Control.Report, &fleetpb.ReportRequest{})
}

// leaderResponse is a response in which a control host that is not the leader names the leader.
type leaderResponse interface {
	GetLeader() string
}

// call tries the control hosts in rounds until one responds as the leader.
func call[Q any, A leaderResponse](
	ctx context.Context, c *Client, method func(fleetpb.Control, context.Context, Q) (A, error), request Q,
) (A, error) {
	var zero A
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {"Bearer " + c.options.Secret}})
	if err != nil {
		return zero, trace.Wrap(err)
	}
	causes := map[string]string{}
	for {
		for _, address := range c.addresses() {
			answer, found, err := c.callFollowingLeader(ctx, address, causes, func(control fleetpb.Control) (leaderResponse, error) {
				limited, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				return method(control, limited, request)
			})
			if err != nil {
				return zero, trace.Wrap(err)
			}
			if found {
				return answer.(A), nil
			}
			if ctx.Err() != nil {
				return zero, trace.Wrap(&NoLeaderError{Causes: causes})
			}
		}
		select {
		case <-ctx.Done():
			return zero, trace.Wrap(&NoLeaderError{Causes: causes})
		case <-time.After(retryInterval):
		}
	}
}

// callFollowingLeader calls an address, and then the leaders that responses name, at most maxRedirects calls in all. The
// second result is false when no leader responded.
func (c *Client) callFollowingLeader(
	ctx context.Context, address string, causes map[string]string, attempt func(fleetpb.Control) (leaderResponse, error),
) (leaderResponse, bool, error) {
	for range maxRedirects {
		answer, err := attempt(fleetpb.NewControlProtobufClient(c.options.Hosts.URL(address), c.http))
		if err != nil {
			if isPermanent(err) {
				return nil, false, &RefusedError{Address: address, Cause: errorMessage(err)}
			}
			// When ctx ends during a call, the cause of the call before it is more informative.
			if causes[address] == "" || ctx.Err() == nil {
				causes[address] = errorMessage(err)
			}
			if c.leader == address {
				c.leader = ""
			}
			return nil, false, nil
		}
		if answer.GetLeader() == "" {
			c.leader = address
			return answer, true, nil
		}
		causes[address] = "it does not lead, and names " + answer.GetLeader()
		address = answer.GetLeader()
	}
	return nil, false, nil
}

// addresses returns the control hosts, with the last known leader first.
func (c *Client) addresses() []string {
	if c.leader == "" {
		return c.options.Control
	}
	others := slices.DeleteFunc(slices.Clone(c.options.Control), func(a string) bool { return a == c.leader })
	return append([]string{c.leader}, others...)
}

// isPermanent reports whether the same call would fail on every host and at any later time.
func isPermanent(err error) bool {
	var failure twirp.Error
	if !errors.As(err, &failure) {
		return false
	}
	switch failure.Code() {
	case twirp.Unauthenticated, twirp.PermissionDenied, twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute, twirp.Unimplemented:
		return true
	default:
		return false
	}
}

func errorMessage(err error) string {
	var failure twirp.Error
	if !errors.As(err, &failure) {
		return err.Error()
	}
	// The body is set when the response does not come from a control host's service, for example when a TLS server refuses a
	// call without TLS.
	if body := strings.TrimSpace(failure.Meta("body")); body != "" {
		return failure.Msg() + ": " + body
	}
	return failure.Msg()
}
