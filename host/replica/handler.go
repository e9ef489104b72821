package replica

import (
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/host/peer"
)

// maxRequest is the largest accepted request body in bytes; the largest bodies contain a snapshot.
const maxRequest = 64 << 20

var (
	received        = metrics.NewCounter("tamarack_log_messages_received_total")
	receiveDropped  = metrics.NewCounter("tamarack_log_messages_dropped_total{side=\"receive\"}")
	unauthenticated = metrics.NewCounter("tamarack_log_unauthenticated_total")
)

// Handler returns the handler of the Quorum service under its twirp path, for authenticated hosts of the fleet.
func (r *Replica) Handler() http.Handler {
	server := fleetpb.NewQuorumServer(service{r})
	bounded := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(w, request.Body, maxRequest)
		server.ServeHTTP(w, request)
	})
	return peer.Guard(r.options.Peers.Admit, unauthenticated, bounded)
}

// service implements fleetpb.Quorum and receives messages from the other members.
type service struct{ replica *Replica }

// Step queues messages for the loop. It responds before they are handled, and drops messages when the queue is full. It
// rejects the whole request when the sender of a message names a control host other than the caller.
func (s service) Step(ctx context.Context, in *fleetpb.StepRequest) (*fleetpb.StepResponse, error) {
	for _, m := range in.GetMessages() {
		if err := s.replica.options.Peers.VerifyControlHost(ctx, string(quorum.HostOf(m.GetFrom()))); err != nil {
			unauthenticated.Inc()
			return nil, err
		}
	}
	for _, m := range in.GetMessages() {
		select {
		case <-s.replica.stop:
			return nil, twirp.Unavailable.Error("the control log of this host is closed")
		case s.replica.messages <- m:
			received.Inc()
		default:
			receiveDropped.Inc()
		}
	}
	return &fleetpb.StepResponse{}, nil
}
