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
