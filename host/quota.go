package main

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/quota"
)

// entryQuota implements entry.Quota. It converts the errors of the quota to rejections for callers.
type entryQuota struct {
	quota *quota.Quota
}

// Take waits until the rate of a team allows one request.
func (g entryQuota) Take(ctx context.Context, team ident.Team) error {
	err := g.quota.Take(ctx, limit.Request{Team: team})
	var exceeded *limit.Exceeded
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &exceeded):
		return trace.Wrap(sqlstate.New(sqlstate.DeadlinePassed, err))
	case exceeded.Cause == limit.CauseNoOwner:
		return trace.Wrap(sqlstate.New(sqlstate.TokensUnavailable, exceeded))
	}
	return trace.Wrap(sqlstate.New(sqlstate.RateExceeded, exceeded))
}
