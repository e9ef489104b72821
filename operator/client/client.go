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
	// attemptTime bounds one call; a leader answers within milliseconds, or after an election of about a second.
	attemptTime = 3 * time.Second
	// pause is the time between two rounds of calls to all control hosts.
	pause = 250 * time.Millisecond
	// hops bounds how often an answer's leader is followed in one round, since two hosts may name each other.
	hops = 4
)

// Options configure a Client.
type Options struct {
	// Control lists peer addresses of control hosts.
	Control []string
	// Secret is the operator secret.
	Secret string
	// Hosts carries the calls; nil means calls without TLS.
	Hosts *certificate.Hosts
}

// Client calls the control leader.
type Client struct {
	options Options
	http    *http.Client
	// leader is the address that answered last, which is tried first.
	leader string
}

// NoLeaderError reports that no control host led to an answer in time. A change that was sent may have been made.
type NoLeaderError struct {
	// Causes holds the last problem with each address.
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

// RefusedError reports a call that the control host refused for a reason that repeating does not change.
type RefusedError struct {
	Address string
	Cause   string
}

// Error names the control host and its reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("control host %s refused: %s", e.Address, e.Cause)
}

// New returns a client, or an error when there are certificates that cannot be used.
func New(options Options) (*Client, error) {
	if options.Hosts == nil {
		var err error
		if options.Hosts, err = certificate.NewHosts(nil); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &Client{options: options, http: options.Hosts.Client(attemptTime)}, nil
}

// Apply applies a text; the request's id makes repeats harmless. The methods return a NoLeaderError once ctx has ended,
// or a RefusedError.
func (c *Client) Apply(ctx context.Context, request *fleetpb.ApplyRequest) (*fleetpb.ApplyResponse, error) {
	return call(ctx, c, fleetpb.Control.Apply, request)
}

// GiveKey puts a key in force.
func (c *Client) GiveKey(ctx context.Context, request *fleetpb.GiveKeyRequest) (*fleetpb.KeyResponse, error) {
	return call(ctx, c, fleetpb.Control.GiveKey, request)
}

// WithdrawKey ends a key.
func (c *Client) WithdrawKey(ctx context.Context, request *fleetpb.WithdrawKeyRequest) (*fleetpb.KeyResponse, error) {
	return call(ctx, c, fleetpb.Control.WithdrawKey, request)
}

// Status reports whether the text is met.
func (c *Client) Status(ctx context.Context) (*fleetpb.StatusResponse, error) {
	return call(ctx, c, fleetpb.Control.Status, &fleetpb.StatusRequest{})
}

// Explain reports recent events about a subject, or all of them.
func (c *Client) Explain(ctx context.Context, subject string) (*fleetpb.ExplainResponse, error) {
	return call(ctx, c, fleetpb.Control.Explain, &fleetpb.ExplainRequest{Subject: subject})
}

// Report returns the service levels.
func (c *Client) Report(ctx context.Context) (*fleetpb.ReportResponse, error) {
	return call(ctx, c, fleetpb.Control.Report, &fleetpb.ReportRequest{})
}

// led is an answer that names the leader when it comes from another control host.
type led interface {
	GetLeader() string
}

// call tries the control hosts, round after round, until one answers as the leader.
func call[Q any, A led](
	ctx context.Context, c *Client, method func(fleetpb.Control, context.Context, Q) (A, error), request Q,
) (A, error) {
	var none A
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {"Bearer " + c.options.Secret}})
	if err != nil {
		return none, trace.Wrap(err)
	}
	causes := map[string]string{}
	for {
		for _, address := range c.addresses() {
			answer, found, err := c.follow(ctx, address, causes, func(control fleetpb.Control) (led, error) {
				limited, cancel := context.WithTimeout(ctx, attemptTime)
				defer cancel()
				return method(control, limited, request)
			})
			if err != nil {
				return none, trace.Wrap(err)
			}
			if found {
				return answer.(A), nil
			}
			if ctx.Err() != nil {
				return none, trace.Wrap(&NoLeaderError{Causes: causes})
			}
		}
		select {
		case <-ctx.Done():
			return none, trace.Wrap(&NoLeaderError{Causes: causes})
		case <-time.After(pause):
		}
	}
}

// follow calls an address, and the leader that its answer names.
func (c *Client) follow(
	ctx context.Context, address string, causes map[string]string, try func(fleetpb.Control) (led, error),
) (led, bool, error) {
	for range hops {
		answer, err := try(fleetpb.NewControlProtobufClient(c.options.Hosts.URL(address), c.http))
		if err != nil {
			if final(err) {
				return nil, false, &RefusedError{Address: address, Cause: reason(err)}
			}
			// A call that was cut short by the end of ctx says less than the one before.
			if causes[address] == "" || ctx.Err() == nil {
				causes[address] = reason(err)
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

// addresses returns the control hosts, the last leader first.
func (c *Client) addresses() []string {
	if c.leader == "" {
		return c.options.Control
	}
	others := slices.DeleteFunc(slices.Clone(c.options.Control), func(a string) bool { return a == c.leader })
	return append([]string{c.leader}, others...)
}

// final reports whether the same call cannot succeed elsewhere or later.
func final(err error) bool {
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

func reason(err error) string {
	var failure twirp.Error
	if !errors.As(err, &failure) {
		return err.Error()
	}
	// The body says what a server other than a control host's answered, as to a call without TLS.
	if body := strings.TrimSpace(failure.Meta("body")); body != "" {
		return failure.Msg() + ": " + body
	}
	return failure.Msg()
}
