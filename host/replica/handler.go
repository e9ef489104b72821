package replica

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/fleetpb"
)

// maxRequest bounds a request's body in bytes; the largest one holds a snapshot.
const maxRequest = 64 << 20

var (
	received        = metrics.NewCounter("tamarack_log_messages_received_total")
	receiveDropped  = metrics.NewCounter("tamarack_log_messages_dropped_total{side=\"receive\"}")
	unauthenticated = metrics.NewCounter("tamarack_log_unauthenticated_total")
)

// Handler serves the Quorum service under its twirp path to callers that show the fleet secret.
func (r *Replica) Handler() http.Handler {
	server := fleetpb.NewQuorumServer(service{r})
	want := sha256.Sum256([]byte("Bearer " + r.options.Secret))
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		// Hashes have equal lengths, so that the comparison tells nothing about the secret's length either.
		got := sha256.Sum256([]byte(request.Header.Get("Authorization")))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			unauthenticated.Inc()
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("wrong fleet secret"))
			return
		}
		request.Body = http.MaxBytesReader(w, request.Body, maxRequest)
		server.ServeHTTP(w, request)
	})
}

// service takes messages of the other members.
type service struct{ replica *Replica }

// Step queues messages for the loop; it answers before they are handled, and drops them when too many wait.
func (s service) Step(_ context.Context, in *fleetpb.StepRequest) (*fleetpb.StepResponse, error) {
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
