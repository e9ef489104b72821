package catalog

import (
	"fmt"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// Kind says which data a route's reads accept.
type Kind int

// Kinds of routes.
const (
	// KindPrimary reads everything acknowledged before.
	KindPrimary Kind = iota
	// KindBounded reads everything acknowledged longer ago than the staleness.
	KindBounded
	// KindSession is bounded and reads its own session's writes as well.
	KindSession
)

//go:generate enumer -type=Kind -trimprefix=Kind -transform=snake

// Route is a database name under which callers reach a service.
type Route struct {
	Name     string
	Database ident.Route
	// Prefix tells routes of one database name apart.
	Prefix string
	Kind   Kind
	// Timeout limits a statement, Objective is the time in which an operation should end.
	Timeout   time.Duration
	Objective time.Duration
	// Priority orders work that waits; 0 goes first.
	Priority int
	Service  ident.Service
	// Staleness is the age of data that bounded and session routes accept.
	Staleness time.Duration
	// Public routes need no key.
	Public bool
	// Regions are those that may run the route's requests; all when empty.
	Regions []ident.Region
}

// Service is a database group.
type Service struct {
	Name ident.Service
	// Connections is the most that one upstream of the group accepts from all hosts.
	Connections int
	// Synced is the number of replicas that hold a write before it is acknowledged.
	Synced int
	// WarmupRate is the most requests a second for a cold upstream over all hosts; 0 without a limit.
	WarmupRate float64
}

// Team is a tenant.
type Team struct {
	Name     ident.Team
	Keys     []string
	Priority int
	Rule     limit.Rule
	// Regions are those that may run the team's requests; all when empty.
	Regions []ident.Region
}

// Description is a configuration as an operator gives it.
type Description struct {
	Version  ident.Version
	Routes   []Route
	Services []Service
	Teams    []Team
	// IdleTransaction is how long a transaction may rest between statements.
	IdleTransaction time.Duration
}

// Cause says what is wrong with a description.
type Cause int

// Causes.
const (
	// CauseService is a route to a service that is not described.
	CauseService Cause = iota
	// CauseRoute is a second route of the same database and prefix.
	CauseRoute
	// CauseTimeout is a route without a time limit.
	CauseTimeout
	// CauseKey is a key of two teams.
	CauseKey
	// CauseKind is a route of an unknown kind.
	CauseKind
)

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// InvalidError reports a description that cannot come into force.
type InvalidError struct {
	Cause Cause
	// Subject is the name of the route or team at fault.
	Subject string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the configuration is invalid: %s of %q", e.Cause, e.Subject)
}

// Catalog is a checked configuration. It is not changed after New, so that any number of goroutines may read it.
type Catalog struct {
	Description
	routes   map[ident.Route]*Route
	services map[ident.Service]*Service
	teams    map[ident.Team]*Team
	keys     map[string]*Team
}

// New checks a description; it returns an InvalidError for the first mistake.
func New(d Description) (*Catalog, error) {
	c := &Catalog{
		Description: d,
		routes:      map[ident.Route]*Route{},
		services:    map[ident.Service]*Service{},
		teams:       map[ident.Team]*Team{},
		keys:        map[string]*Team{},
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
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
	type place struct {
		database ident.Route
		prefix   string
	}
	taken := map[place]bool{}
	for i := range c.Routes {
		route := &c.Routes[i]
		at := place{route.Database, route.Prefix}
		switch {
		case c.services[route.Service] == nil:
			return &InvalidError{CauseService, route.Name}
		case taken[at]:
			return &InvalidError{CauseRoute, route.Name}
		case route.Timeout <= 0:
			return &InvalidError{CauseTimeout, route.Name}
		case !route.Kind.IsAKind():
			return &InvalidError{CauseKind, route.Name}
		}
		taken[at] = true
		if c.routes[route.Database] == nil {
			c.routes[route.Database] = route
		}
	}
	return nil
}

func (c *Catalog) addTeams() error {
	for i := range c.Teams {
		team := &c.Teams[i]
		c.teams[team.Name] = team
		for _, key := range team.Keys {
			if other := c.keys[key]; other != nil && other != team {
				return &InvalidError{CauseKey, string(team.Name)}
			}
			c.keys[key] = team
		}
	}
	return nil
}

// Route returns the route of a database name, or nil.
func (c *Catalog) Route(database ident.Route) *Route {
	return c.routes[database]
}

// Service returns the description of a service, or nil.
func (c *Catalog) Service(name ident.Service) *Service {
	return c.services[name]
}

// TeamOf returns the team that holds a key, or nil.
func (c *Catalog) TeamOf(key string) *Team {
	if key == "" {
		return nil
	}
	return c.keys[key]
}

// Rules returns the limits of all teams.
func (c *Catalog) Rules() map[ident.Team]limit.Rule {
	rules := make(map[ident.Team]limit.Rule, len(c.Teams))
	for _, team := range c.Teams {
		rules[team.Name] = team.Rule
	}
	return rules
}

// Allows reports whether a region may run requests of the route for the team; team is nil on public routes.
func (c *Catalog) Allows(route *Route, team *Team, region ident.Region) bool {
	if len(route.Regions) > 0 && !slices.Contains(route.Regions, region) {
		return false
	}
	return team == nil || len(team.Regions) == 0 || slices.Contains(team.Regions, region)
}
