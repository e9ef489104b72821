package rejections_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/rejections"
)

// Guards against rejections that are lost by a failed sync, or reported again after a successful one.
func TestUndeliveredRejectionsAreReportedAgain(t *testing.T) {
	log := rejections.New("h1")
	session := ident.Session{Service: "ledger", Team: "wicks", User: "anna"}
	log.Add(session, sqlstate.New(sqlstate.RateExceeded, nil))
	log.Report(&fleetpb.SyncRequest{})
	log.Add(session, sqlstate.New(sqlstate.RateExceeded, nil))
	var second, third fleetpb.SyncRequest
	log.Report(&second)
	require.Len(t, second.GetRejections(), 1)
	require.Contains(t, second.GetRejections()[0].GetCause(), "2 times rate_exceeded")
	log.Delivered()
	log.Report(&third)
	require.Empty(t, third.GetRejections())
}

// Guards against groups that grow with each failed sync, so that a long overload makes the control traffic grow with it.
func TestUndeliveredGroupsAreBounded(t *testing.T) {
	log := rejections.New("h1")
	var request fleetpb.SyncRequest
	for i := range 100 {
		request = fleetpb.SyncRequest{}
		log.Add(ident.Session{Service: "ledger", Team: ident.Team(rune('a' + i)), User: "anna"}, sqlstate.New(sqlstate.RateExceeded, nil))
		log.Report(&request)
	}
	require.LessOrEqual(t, len(request.GetRejections()), 16)
	require.Equal(t, "ledger/a", request.GetRejections()[0].GetSubject(), "the groups that wait for delivery stay")
}
