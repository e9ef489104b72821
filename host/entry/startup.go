package entry

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/key"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/member"
)

// parameters are the values that drivers expect at the start of a session.
var parameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "15.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// errCancelled closes a connection after its cancel request, which has no answer.
var errCancelled = errors.New("cancel request handled")

var errShutdown = sqlstate.New(sqlstate.ShuttingDown, nil)

func (c *caller) start(ctx context.Context) error {
	c.socket.SetDeadline(time.Now().Add(c.server.opts.Limits.Start))
	startup, err := c.startupMessage(ctx)
	if err != nil {
		return err
	}
	if err := c.authenticate(startup); err != nil {
		return err
	}
	c.socket.SetDeadline(time.Time{})
	c.raw.SetTeam(c.session.Team)
	return c.completeStartup()
}

func (c *caller) startupMessage(ctx context.Context) (*pgproto3.StartupMessage, error) {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, reject(sqlstate.ProtocolViolation, "no startup message: %v", err)
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest:
			if err := c.startTLS(ctx); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.socket.Write([]byte{'N'}); err != nil {
				return nil, trace.Wrap(err)
			}
		case *pgproto3.CancelRequest:
			c.server.cancel(ctx, m.ProcessID, m.SecretKey)
			return nil, errCancelled
		case *pgproto3.StartupMessage:
			return m, c.checkPlaintext()
		default:
			return nil, reject(sqlstate.ProtocolViolation, "startup message %T", m)
		}
	}
}

// authenticate finds the route and checks the key. The password is not sent to other hosts or upstreams.
func (c *caller) authenticate(startup *pgproto3.StartupMessage) error {
	name := ident.Route(startup.Parameters["database"])
	user := ident.User(startup.Parameters["user"])
	if user == "" {
		return reject(sqlstate.ProtocolViolation, "the startup message names no user")
	}
	if name == "" {
		name = ident.Route(user)
	}
	view, err := c.server.waitView(maxViewWait)
	if err != nil {
		return err
	}
	found, ok := view.Routes[name]
	if !ok {
		c.server.metrics.unknownService.Inc()
		return reject(sqlstate.UnknownService, "%q", name)
	}
	if c.server.refusesCallers() {
		return errShutdown
	}
	c.route = found
	team := found.Team
	if !found.Open {
		if team, err = c.checkPassword(view); err != nil {
			return err
		}
	}
	c.session = ident.Session{Service: found.Service, Team: team, User: user}
	return nil
}

func (c *caller) checkPassword(view *member.View) (ident.Team, error) {
	if err := c.send(&pgproto3.AuthenticationCleartextPassword{}); err != nil {
		return "", err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", trace.Wrap(err)
	}
	message, err := c.receiveMessage()
	if err != nil {
		return "", err
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok {
		return "", reject(sqlstate.ProtocolViolation, "message %T in place of the password", message)
	}
	id, team, err := view.Keys.Check(password.Password)
	if err != nil {
		c.server.metrics.wrongKey.Inc()
		return "", keyRejection(err)
	}
	c.permit.Store(&permit{id, team})
	// The key may have changed before endRevoked could see the permit.
	return team, c.checkKey(c.server.opts.View())
}

func (c *caller) completeStartup() error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for i := range parameters {
		c.backend.Send(&parameters[i])
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	return c.send(c.ready())
}

// keyRejection distinguishes a withdrawn key from a wrong one.
func keyRejection(err error) error {
	var revoked *key.RevokedError
	if errors.As(err, &revoked) {
		return trace.Wrap(sqlstate.New(sqlstate.RevokedKey, err))
	}
	return trace.Wrap(sqlstate.New(sqlstate.WrongKey, err))
}
