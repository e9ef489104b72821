package catalog

import (
	"fmt"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// Kind defines how fresh the data must be that a route's reads return.
type Kind int

// Kinds of routes.
const (
	// KindPrimary reads see every write that was acknowledged before.
	KindPrimary Kind = iota
	// KindBounded reads see every write that was acknowledged longer ago than the route's Staleness.
	KindBounded
	// KindSession reads are bounded and also see their own session's writes.
	KindSession
)

//go:generate enumer -type=Kind -trimprefix=Kind -transform=snake

// Route is a database name under which callers reach a service.
type Route struct {
	Name     string
	Database ident.Route
	// Prefix distinguishes routes of the same database name.
	Prefix string
	Kind   Kind
	// Timeout limits a statement, and Objective is the time in which an operation should end.
	Timeout   time.Duration
	Objective time.Duration
	// Priority orders waiting work; 0 goes first.
	Priority int
	Service  ident.Service
	// Staleness is the maximum age of the data that bounded and session routes accept.
	Staleness time.Duration
	// Public routes need no key.
	Public bool
	// Regions are the regions that may run the route's requests; empty means all.
	Regions []ident.Region
}

// Service is a database group.
type Service struct {
	Name ident.Service
	// Connections is the maximum number of connections that one upstream of the group accepts from all hosts.
	Connections int
	// SyncReplicas is the number of replicas that must hold a write before it is acknowledged.
	SyncReplicas int
	// WarmupRate is the maximum number of requests per second, over all hosts, to an upstream that is still warming up;
	// 0 means no limit.
	WarmupRate float64
}

// Team is a tenant.
type Team struct {
	Name     ident.Team
	Keys     []string
	Priority int
	Rule     limit.Rule
	// Regions are the regions that may run the team's requests; empty means all.
	Regions []ident.Region
}

// Description is an operator's configuration before it is checked.
type Description struct {
	Version  ident.Version
	Routes   []Route
	Services []Service
	Teams    []Team
	// IdleTransaction is the maximum time between two statements of a transaction.
	IdleTransaction time.Duration
}

// Cause is the kind of mistake in a description.
type Cause int

// Causes of an InvalidError.
const (
	// CauseService means that a route's service is not described, or described twice.
	CauseService Cause = iota
	// CauseRoute means that two routes have the same database and prefix.
	CauseRoute
	// CauseTimeout means that a route has no timeout.
	CauseTimeout
	// CauseKey means that two teams have the same key.
	CauseKey
	// CauseKind means that a route has an unknown kind.
	CauseKind
	// CauseTeam means that two teams have the same name.
	CauseTeam
)

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// InvalidError reports a description that is not valid and cannot come into force.
type InvalidError struct {
	Cause Cause
	// Subject is the name of the invalid route, service or team.
	Subject string
}

// Error returns the cause and the subject.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the configuration is invalid: %s of %q", e.Cause, e.Subject)
}

// Catalog is a checked configuration. It does not change after New and is safe for concurrent use.
type Catalog struct {
	Description
	routes   map[ident.Route]*Route
	services map[ident.Service]*Service
	teams    map[ident.Team]*Team
	keys     map[string]*Team
	// holders has the team of each key by the key's id.
	holders map[KeyID]ident.Team
}

// New checks a description and returns its Catalog, or an InvalidError for the first mistake.
func New(d Description) (*Catalog, error) {
	c := &Catalog{
		Description: d,
		routes:      map[ident.Route]*Route{},
		services:    map[ident.Service]*Service{},
		teams:       map[ident.Team]*Team{},
		keys:        map[string]*Team{},
		holders:     map[KeyID]ident.Team{},
	}
	for i := range d.Services {
		service := &d.Services[i]
		if c.services[service.Name] != nil {
			return nil, &InvalidError{CauseService, string(service.Name)}
		}
		c.services[service.Name] = service
	}
	if err := c.addRoutes(); err != nil {
		return nil, err
	}
	if err := c.addTeams(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Catalog) addRoutes() error {
	type routeKey struct {
		database ident.Route
		prefix   string
	}
	known := map[routeKey]bool{}
	for i := range c.Routes {
		route := &c.Routes[i]
		key := routeKey{route.Database, route.Prefix}
		switch {
		case c.services[route.Service] == nil:
			return &InvalidError{CauseService, route.Name}
		case known[key]:
			return &InvalidError{CauseRoute, route.Name}
		case route.Timeout <= 0:
			return &InvalidError{CauseTimeout, route.Name}
		case !route.Kind.IsAKind():
			return &InvalidError{CauseKind, route.Name}
		}
		known[key] = true
		if c.routes[route.Database] == nil {
			c.routes[route.Database] = route
		}
	}
	return nil
}

func (c *Catalog) addTeams() error {
	for i := range c.Teams {
		team := &c.Teams[i]
		if c.teams[team.Name] != nil {
			return &InvalidError{CauseTeam, string(team.Name)}
		}
		c.teams[team.Name] = team
		for _, key := range team.Keys {
			if other := c.keys[key]; other != nil && other != team {
				return &InvalidError{CauseKey, string(team.Name)}
			}
			c.keys[key] = team
			c.holders[NewKeyID(key)] = team.Name
		}
	}
	return nil
}

// Route returns the first route of a database name, or nil.
func (c *Catalog) Route(database ident.Route) *Route {
	return c.routes[database]
}

// Service returns the description of a service, or nil.
func (c *Catalog) Service(name ident.Service) *Service {
	return c.services[name]
}

// TeamOf returns the team that a key belongs to, or nil.
func (c *Catalog) TeamOf(key string) *Team {
	if key == "" {
		return nil
	}
	return c.keys[key]
}

// Rules returns the rate and burst of all teams.
func (c *Catalog) Rules() map[ident.Team]limit.Rule {
	rules := make(map[ident.Team]limit.Rule, len(c.Teams))
	for _, team := range c.Teams {
		rules[team.Name] = team.Rule
	}
	return rules
}

// ID returns the team's name, or "" for a nil team.
func (t *Team) ID() ident.Team {
	if t == nil {
		return ""
	}
	return t.Name
}

// Allows reports whether a region may run requests of the route for the team; team is nil on public routes.
func Allows(route *Route, team *Team, region ident.Region) bool {
	if len(route.Regions) > 0 && !slices.Contains(route.Regions, region) {
		return false
	}
	return team == nil || len(team.Regions) == 0 || slices.Contains(team.Regions, region)
}
