package gateway

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

const (
	// callMargin is added to the wait and the statement's timeout to get the timeout of a call.
	callMargin = 150 * time.Millisecond
	// endTimeout bounds the calls that release a connection, which are repeated after endRetryDelay: the connection to the gateway
	// may have broken just before.
	endTimeout    = 2 * time.Second
	endRetryDelay = 500 * time.Millisecond
	// checkTimeout bounds the check of a gateway's port.
	checkTimeout = 200 * time.Millisecond
)

var callFailures = metrics.NewCounter("tamarack_gateway_call_failures_total")

// Client sends statements to the gateways on other hosts.
type Client struct {
	http *http.Client
	url  func(address string) string
}

// NewClient returns a client that uses an HTTP client; url returns the base URL of a peer address.
func NewClient(client *http.Client, url func(address string) string) *Client {
	return &Client{http: client, url: url}
}

// remoteExecutor runs statements on a connection of a gateway on another host.
type remoteExecutor struct {
	client *Client
	// address is the gateway's peer address.
	address  string
	gateway  fleetpb.Gateway
	target   upstream.Target
	team     ident.Team
	priority int
	// lease identifies the connection that the gateway keeps for this executor; it is empty if there is none.
	lease string
	// transaction identifies this executor to the gateway that keeps a connection for it; it is empty before the first such request.
	transaction string
	// onFailure is called after a call that the gateway did not answer; closed is set if its port was closed.
	onFailure func(closed bool)
}

// PortClosed reports whether no process listens at a gateway's address. It returns an error if that can't be known.
func (c *Client) PortClosed(ctx context.Context, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	switch {
	case err == nil:
		return false, connection.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	}
	return false, err
}

// Executor returns an executor for an upstream that uses the gateway at an address. It calls onFailure if the gateway does not
// answer; closed is set if its port was closed, so that its process has ended.
func (c *Client) Executor(
	address string, target upstream.Target, team ident.Team, priority int, onFailure func(closed bool),
) upstream.Executor {
	return &remoteExecutor{
		client: c, address: address, gateway: fleetpb.NewGatewayProtobufClient(c.url(address), c.http),
		target: target, team: team, priority: priority, onFailure: onFailure,
	}
}

// Target implements upstream.Executor.
func (r *remoteExecutor) Target() upstream.Target { return r.target }

// Execute implements upstream.Executor.
func (r *remoteExecutor) Execute(ctx context.Context, use upstream.Use) (upstream.Outcome, error) {
	request := r.request(ctx, &use)
	call, cancel := context.WithTimeout(context.Background(), callTimeout(request))
	defer cancel()
	response, err := r.gateway.Use(call, request)
	if err != nil {
		return r.callFailed(&use, err)
	}
	r.lease = response.GetLease()
	if use.Keep && r.lease == "" && len(response.GetBroken())+len(response.GetUnreachable()) == 0 {
		// A later statement without a lease would run outside of the transaction.
		return r.callFailed(&use, errNoLeaseGiven)
	}
	outcome := upstream.Outcome{
		Gateway: r.address, Lease: cmp.Or(r.lease, request.GetLease()),
		Result: statement.Result{
			Rows:      texts(response.GetRows()),
			Signature: string(response.GetSignature()),
			State:     statement.State(response.GetState()),
			Position:  positionFromProto(response.GetPosition()),
		},
		Opened: positionFromProto(response.GetOpened()),
		Ran:    response.GetRan(),
		Load:   loadFromProto(response.GetLoad()),
	}
	outcome.Result.Failure = failureFromProto(response)
	switch {
	case len(response.GetBroken()) > 0:
		return outcome, &upstream.BrokenError{Cause: errors.New(string(response.GetBroken()))}
	case response.GetNotHolder():
		// What a host without connections measures is not the upstream's load.
		outcome.Load = balance.Load{}
		return outcome, &upstream.NotHolderError{Upstream: r.target.Upstream}
	case len(response.GetUnreachable()) > 0 && outcome.Result.Failure != nil:
		return outcome, outcome.Result.Failure
	case len(response.GetUnreachable()) > 0:
		return outcome, &upstream.UnreachableError{Upstream: r.target.Upstream, Cause: errors.New(string(response.GetUnreachable()))}
	}
	return outcome, nil
}

// callTimeout returns the time after which the host of a statement gives up the call.
func callTimeout(request *fleetpb.UseRequest) time.Duration {
	return time.Duration(request.GetWaitMs()+request.GetTimeoutMs())*time.Millisecond + callMargin
}

// errNoLeaseGiven reports a response without the lease that was requested.
var errNoLeaseGiven = errors.New("the gateway has kept no connection for the transaction")

// request returns the request for a use. The remaining time of ctx is the maximum wait for a connection and the limiter.
func (r *remoteExecutor) request(ctx context.Context, use *upstream.Use) *fleetpb.UseRequest {
	if use.Keep && r.transaction == "" {
		r.transaction = rand.Text()
	}
	request := &fleetpb.UseRequest{
		Lease:       r.lease,
		Transaction: r.transaction,
		TimeoutMs:   uint32(max(0, use.Timeout/time.Millisecond)),
		Values:      valuesToProto(use.Values),
		Opening:     fleetpb.Opening(use.Opening),
		Since:       positionToProto(use.Since),
		Id:          []byte(use.ID),
		Text:        []byte(use.Text),
		Keep:        use.Keep,
		WithinMs:    uint32(max(0, use.Within/time.Millisecond)),
		Late:        use.Late,
		Key:         uint64(use.Key),
		Version:     uint64(use.Version),
	}
	if r.lease == "" {
		request.Service, request.Upstream = string(r.target.Service), string(r.target.Upstream)
		request.Team, request.Priority = string(r.team), int32(r.priority)
	}
	if end, found := ctx.Deadline(); found {
		request.WaitMs = uint32(max(0, time.Until(end)/time.Millisecond))
	}
	if use.Prepared != nil {
		request.Prepared = &fleetpb.PreparedStatement{Writes: use.Prepared.Writes, Shape: []byte(use.Prepared.Shape)}
	}
	return request
}

// callFailed handles a call without an answer. Unless the request never reached the gateway, the upstream may have run the
// statement.
func (r *remoteExecutor) callFailed(use *upstream.Use, err error) (upstream.Outcome, error) {
	callFailures.Inc()
	outcome := upstream.Outcome{Gateway: r.address, Lease: r.lease}
	if refusedForMemory(err) {
		// The gateway answers others, and still holds the lease.
		r.end()
		return outcome, &upstream.UnreachableError{Upstream: r.target.Upstream, Cause: err}
	}
	if !answerRefused(err) {
		r.onFailure(errors.Is(err, syscall.ECONNREFUSED))
	}
	if neverSent(err) {
		if mayHoldLease(err) {
			r.Close()
		}
		r.lease = ""
		return outcome, &upstream.UnreachableError{Upstream: r.target.Upstream, Cause: err}
	}
	r.end()
	outcome.Ran = use.ID != ""
	return outcome, &upstream.BrokenError{Cause: trace.Wrap(err)}
}

// Close implements upstream.Executor.
func (r *remoteExecutor) Close() {
	if r.lease != "" {
		r.end()
	}
}

// end asks the gateway in the background to give up the connection that it keeps, or may keep since its answer was lost.
func (r *remoteExecutor) end() {
	request := &fleetpb.EndRequest{Lease: r.lease, Transaction: r.transaction}
	r.lease = ""
	if request.Transaction == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		for {
			if _, err := r.gateway.End(ctx, request); err == nil {
				return
			}
			callFailures.Inc()
			if steady.Wait(ctx, endRetryDelay) != nil {
				return
			}
		}
	}()
}
