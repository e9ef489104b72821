package controller

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

var (
	syncs                 = metrics.NewCounter(`tamarack_control_syncs_total`)
	syncsRefused          = metrics.NewCounter(`tamarack_control_syncs_refused_total`)
	borrows               = metrics.NewCounter(`tamarack_control_borrows_total`)
	textsAccepted         = metrics.NewCounter(`tamarack_control_texts_total{outcome="accepted"}`)
	textsRefused          = metrics.NewCounter(`tamarack_control_texts_total{outcome="refused"}`)
	announcementsAccepted = metrics.NewCounter(`tamarack_announcements_total{outcome="accepted"}`)
	announcementsRefused  = metrics.NewCounter(`tamarack_announcements_total{outcome="refused"}`)
	announcementsLate     = metrics.NewCounter(`tamarack_announcements_total{outcome="late"}`)
)

// service implements fleetpb.Control.
type service struct {
	*Controller
}

// runAsLeader runs a function under the lock if this host is the confirmed leader. Otherwise it returns the address of the
// leader, or an error when none is known.
func (c *Controller) runAsLeader(run func(now ident.Time)) (leader string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, leadership := c.refreshLeadership()
	switch {
	case c.log == nil:
		return "", unavailable("the control log is not running yet")
	case leadership.Leads && now < leadership.Until:
		run(now)
		return "", nil
	case leadership.Leads:
		return "", unavailable("a majority of control hosts has not confirmed this leader")
	case leadership.Leader == "":
		return "", unavailable("no leader is known")
	default:
		return leadership.Leader, nil
	}
}

func unavailable(message string) error {
	return twirp.Unavailable.Error(message)
}

// twirpError converts an error of package control into a twirp error for the caller.
func twirpError(err error) error {
	var host *control.HostError
	if errors.As(err, &host) {
		return twirp.FailedPrecondition.Error(host.Error())
	}
	return unavailable(err.Error())
}

// Sync handles the sync of a host and returns its lease, its allotments and the control state.
func (s service) Sync(ctx context.Context, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
	if err := s.options.Peers.VerifyControlHost(ctx, request.GetHost()); err != nil {
		syncsRefused.Inc()
		return nil, err
	}
	var response *fleetpb.SyncResponse
	var failure error
	leader, err := s.runAsLeader(func(now ident.Time) {
		var actions []control.Action
		response, actions, failure = s.leader.Sync(now, request)
		s.execute(actions)
		if failure != nil {
			return
		}
		parts := s.options.Parts
		if parts.Failover != nil {
			parts.Failover.Observed(now, ident.Host(request.GetHost()), ident.Zone(request.GetZone()), request.GetObserved())
		}
		if parts.Connections != nil {
			response.Allotments = parts.Connections.Allot(now, request, s.leader.Live())
		}
	})
	switch {
	case err != nil:
		syncsRefused.Inc()
		return nil, err
	case failure != nil:
		syncsRefused.Inc()
		return nil, twirpError(failure)
	case leader != "":
		return &fleetpb.SyncResponse{Leader: leader}, nil
	}
	syncs.Inc()
	return response, nil
}

// Borrow lends tokens of teams to a host.
func (s service) Borrow(ctx context.Context, request *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	if err := s.options.Peers.VerifyControlHost(ctx, request.GetHost()); err != nil {
		return nil, err
	}
	tokens := s.options.Parts.Tokens
	if tokens == nil {
		return nil, twirp.Unimplemented.Error("this control host lends no tokens")
	}
	var at ident.Time
	leader, err := s.runAsLeader(func(now ident.Time) { at = now })
	if err != nil {
		return nil, err
	}
	if leader != "" {
		return &fleetpb.BorrowResponse{Leader: leader}, nil
	}
	borrows.Inc()
	return tokens.Borrow(at, request), nil
}

// Apply checks an operator's configuration text and proposes it.
func (s service) Apply(ctx context.Context, request *fleetpb.ApplyRequest) (*fleetpb.ApplyResponse, error) {
	var version ident.Version
	leader, err := s.runAsLeader(func(ident.Time) { version = s.machine.TextVersion() })
	if err != nil {
		return nil, err
	}
	if leader != "" {
		return &fleetpb.ApplyResponse{Leader: leader}, nil
	}
	change, refused := control.ApplyChange(request, version)
	if refused != nil {
		textsRefused.Inc()
		return refused, nil
	}
	answer, err := proposeTyped[*fleetpb.ApplyResponse](ctx, s.Controller, change)
	if err != nil {
		return nil, err
	}
	if answer.GetAccepted() {
		textsAccepted.Inc()
	} else {
		textsRefused.Inc()
	}
	return answer, nil
}

// GiveKey puts a key in force.
func (s service) GiveKey(ctx context.Context, request *fleetpb.GiveKeyRequest) (*fleetpb.KeyResponse, error) {
	return s.changeKey(ctx, &fleetpb.Change{Kind: &fleetpb.Change_Give{Give: request}})
}

// WithdrawKey withdraws a key.
func (s service) WithdrawKey(ctx context.Context, request *fleetpb.WithdrawKeyRequest) (*fleetpb.KeyResponse, error) {
	return s.changeKey(ctx, &fleetpb.Change{Kind: &fleetpb.Change_Withdraw{Withdraw: request}})
}

func (s service) changeKey(ctx context.Context, change *fleetpb.Change) (*fleetpb.KeyResponse, error) {
	leader, err := s.runAsLeader(func(ident.Time) {})
	if err != nil {
		return nil, err
	}
	if leader != "" {
		return &fleetpb.KeyResponse{Leader: leader}, nil
	}
	return proposeTyped[*fleetpb.KeyResponse](ctx, s.Controller, change)
}

// proposeTyped proposes an operator's change and returns the answer as a T. After an error the outcome of the change is
// unknown, and the request may be sent again with the same id.
func proposeTyped[T proto.Message](ctx context.Context, c *Controller, change *fleetpb.Change) (T, error) {
	var none T
	answer, err := c.Propose(ctx, change)
	if err != nil {
		return none, unavailable("the change may or may not be made: " + err.Error())
	}
	typed, matches := answer.(T)
	if !matches {
		klog.ErrorS(nil, "The control state returned an answer of the wrong type", "answer", answer)
		return none, twirp.Internal.Error("the control state gave an answer of the wrong type")
	}
	return typed, nil
}

// Status reports whether the configuration text is met, with the voters and learners of the control log.
func (s service) Status(context.Context, *fleetpb.StatusRequest) (*fleetpb.StatusResponse, error) {
	var response *fleetpb.StatusResponse
	leader, err := s.runAsLeader(func(now ident.Time) { response = s.leader.Status(now) })
	if err != nil {
		return nil, err
	}
	if leader != "" {
		return &fleetpb.StatusResponse{Leader: leader}, nil
	}
	for _, voter := range s.log.Members().GetVoters() {
		response.Voters = append(response.Voters, voter.GetHost())
		response.VoterIds = append(response.VoterIds, voter.GetMember())
	}
	for _, learner := range s.log.Members().GetLearners() {
		response.Learners = append(response.Learners, learner.GetHost())
	}
	return response, nil
}

// Explain reports recent events about a subject.
func (s service) Explain(_ context.Context, request *fleetpb.ExplainRequest) (*fleetpb.ExplainResponse, error) {
	response := &fleetpb.ExplainResponse{}
	leader, err := s.runAsLeader(func(now ident.Time) {
		wall := time.Now()
		for _, event := range s.leader.Explain(now, request.GetSubject()) {
			response.Events = append(response.Events, &fleetpb.Event{
				UnixMs:  uint64(wall.Add(-now.Sub(event.At)).UnixMilli()),
				Host:    string(eventHost(event, s.options.Host)),
				Kind:    event.Kind.String(),
				Subject: event.Subject,
				Cause:   event.Cause,
			})
		}
	})
	if err != nil {
		return nil, err
	}
	response.Leader = leader
	return response, nil
}

func eventHost(event control.Event, leader ident.Host) ident.Host {
	if event.Host != "" {
		return event.Host
	}
	return leader
}

// Report returns the service levels, as text and as values.
func (s service) Report(context.Context, *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	response := &fleetpb.ReportResponse{}
	leader, err := s.runAsLeader(func(now ident.Time) { s.report(now, time.Now(), response) })
	if err != nil {
		return nil, err
	}
	response.Leader = leader
	return response, nil
}

// Announce handles an upstream's announcement.
func (s service) Announce(ctx context.Context, request *fleetpb.AnnounceRequest) (*fleetpb.AnnounceResponse, error) {
	if err := checkAge(ctx); err != nil {
		return nil, twirpError(err)
	}
	var response *fleetpb.AnnounceResponse
	var failure error
	leader, err := s.runAsLeader(func(now ident.Time) {
		var actions []control.Action
		response, actions, failure = s.leader.Announce(now, request)
		s.execute(actions)
		if failure == nil && response.GetAccepted() && s.options.Parts.Failover != nil {
			s.options.Parts.Failover.Announced(now, request)
		}
	})
	switch {
	case err != nil:
		return nil, err
	case failure != nil:
		return nil, twirpError(failure)
	case leader != "":
		return &fleetpb.AnnounceResponse{Leader: leader}, nil
	}
	if response.GetAccepted() {
		announcementsAccepted.Inc()
	} else {
		announcementsRefused.Inc()
	}
	return response, nil
}
