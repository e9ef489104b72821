package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/peer"
)

// ForwardTimeout bounds the forwarding of an announcement to the leader.
const ForwardTimeout = 2 * time.Second

// maxAnnouncement is the largest accepted body of an announcement, in bytes.
const maxAnnouncement = 64 << 10

// Announcement is the JSON body of POST /announce.
type Announcement struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	// LeaseMs is the time in milliseconds for which the upstream counts as announced.
	LeaseMs uint32 `json:"leaseMs"`
	Leaving bool   `json:"leaving"`
}

// Announced is the JSON answer to POST /announce.
type Announced struct {
	Accepted bool   `json:"accepted"`
	Problem  string `json:"problem,omitempty"`
	// Primary is the address of the group's primary, which replicas follow, and Term is the primary's term.
	Primary string `json:"primary,omitempty"`
	Term    uint64 `json:"term,omitempty"`
}

// Announcer forwards an announcement to the control leader.
type Announcer func(ctx context.Context, request *fleetpb.AnnounceRequest) (*fleetpb.AnnounceResponse, error)

// AnnounceHandler serves POST /announce, on control hosts and on others, to upstreams that present the announcement key.
func AnnounceHandler(key string, announce Announcer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !peer.HasSecret(request, key) {
			announcementsRefused.Inc()
			writeAnswer(w, http.StatusUnauthorized, Announced{Problem: "wrong or missing announcement key"})
			return
		}
		if request.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			writeAnswer(w, http.StatusMethodNotAllowed, Announced{Problem: "expected POST"})
			return
		}
		var a Announcement
		decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxAnnouncement))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&a); err != nil {
			announcementsRefused.Inc()
			writeAnswer(w, http.StatusBadRequest, Announced{Problem: "unreadable announcement: " + err.Error()})
			return
		}
		if err := checkAge(request.Context()); err != nil {
			w.Header().Set("Retry-After", "1")
			writeAnswer(w, http.StatusServiceUnavailable, Announced{Problem: err.Error()})
			return
		}
		response, err := announce(request.Context(), a.request())
		switch {
		case err != nil || response.GetLeader() != "":
			klog.V(1).InfoS("Announcement not forwarded", "service", a.Service, "upstream", a.Upstream, "err", err)
			w.Header().Set("Retry-After", "1")
			writeAnswer(w, http.StatusServiceUnavailable, Announced{Problem: "no control leader was reached, try again"})
		case !response.GetAccepted():
			writeAnswer(w, http.StatusUnprocessableEntity, Announced{Problem: response.GetProblem()})
		default:
			writeAnswer(w, http.StatusOK, Announced{Accepted: true, Primary: response.GetPrimary(), Term: response.GetTerm()})
		}
	})
}

// checkAge returns an expiry.LateError for an announcement that arrived longer ago than its sender waits. Announcements have no number, so
// one that a suspended process held up must not replace a later one.
func checkAge(ctx context.Context) error {
	now := steady.Now()
	age := now.Sub(expiry.Arrived(ctx, now))
	if age <= ForwardTimeout && !expiry.Closed(ctx) {
		return nil
	}
	announcementsLate.Inc()
	return &expiry.LateError{By: max(0, age-ForwardTimeout)}
}

func (a Announcement) request() *fleetpb.AnnounceRequest {
	return &fleetpb.AnnounceRequest{
		Service: a.Service,
		Member: &fleetpb.Member{
			Upstream: a.Upstream,
			Address:  a.Address,
			Zone:     a.Zone,
			Region:   a.Region,
			Leaving:  a.Leaving,
		},
		LeaseMs: a.LeaseMs,
	}
}

func writeAnswer(w http.ResponseWriter, status int, body Announced) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Announce handles an announcement if this host leads, and forwards it to the leader otherwise.
func (c *Controller) Announce(ctx context.Context, request *fleetpb.AnnounceRequest) (*fleetpb.AnnounceResponse, error) {
	response, err := service{c}.Announce(ctx, request)
	if err != nil || response.GetLeader() == "" {
		return response, trace.Wrap(err)
	}
	peers := c.options.Peers
	client := fleetpb.NewControlProtobufClient(peers.URL(response.GetLeader()), peers.Client(ForwardTimeout))
	response, err = client.Announce(ctx, request)
	return response, trace.Wrap(err)
}
