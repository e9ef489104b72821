package controller

import (
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/peer"
)

// maxRequest is the largest accepted request body in bytes; the largest requests contain a configuration text.
const maxRequest = 4 << 20

var unauthenticated = metrics.NewCounter(`tamarack_control_unauthenticated_total`)

// Handler returns the handler of the Control service under its twirp path. Methods without a check here are refused.
func (c *Controller) Handler() http.Handler {
	server := fleetpb.NewControlServer(service{c})
	hostCheck := c.options.Peers.Admit
	operatorCheck := peer.Secrets(c.options.Secrets.GetOperator())
	checks := map[string]peer.Check{
		"Sync":        hostCheck,
		"Borrow":      hostCheck,
		"Announce":    peer.Any(hostCheck, peer.Secrets(c.options.Secrets.GetAnnounce())),
		"Apply":       operatorCheck,
		"GiveKey":     operatorCheck,
		"WithdrawKey": operatorCheck,
		"Status":      operatorCheck,
		"Explain":     operatorCheck,
		"Report":      operatorCheck,
	}
	check := func(r *http.Request) error {
		methodCheck := checks[strings.TrimPrefix(r.URL.Path, fleetpb.ControlPathPrefix)]
		if methodCheck == nil {
			methodCheck = peer.Any()
		}
		return methodCheck(r)
	}
	return peer.Guard(check, unauthenticated, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(w, request.Body, maxRequest)
		server.ServeHTTP(w, request)
	}))
}
