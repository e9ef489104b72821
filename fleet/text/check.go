package text

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"tamarackshunt.dev/fleet/fleetpb"
)

// checker collects the mistakes in the references of one text.
type checker struct {
	file     string
	root     *yaml.Node
	text     *fleetpb.Text
	mistakes []Mistake
}

// step is one part of the path to a field: a name, or the index of an element.
type step any

func (c *checker) check() {
	c.zones()
	c.teams()
	c.services()
	c.routes()
	c.cycles()
}

func (c *checker) zones() {
	zones := c.text.GetZones()
	names := map[string]int{}
	in := 0
	for i, z := range zones {
		c.unique(names, z.GetName(), i, "zones", i, "name")
		if !z.GetOut() {
			in++
		}
	}
	if len(zones) > 0 && in == 0 {
		c.add("every zone is out of service, expected at least one that is not", "zones")
	}
}

func (c *checker) teams() {
	names := map[string]int{}
	for i, t := range c.text.GetTeams() {
		c.unique(names, t.GetName(), i, "teams", i, "name")
	}
}

func (c *checker) services() {
	names := map[string]int{}
	for i, s := range c.text.GetServices() {
		c.unique(names, s.GetName(), i, "services", i, "name")
	}
	for i, s := range c.text.GetServices() {
		needed := map[string]int{}
		for j, need := range s.GetNeeds() {
			c.unique(needed, need, j, "services", i, "needs", j)
			if _, known := names[need]; !known {
				c.add(fmt.Sprintf("unknown service %q, expected %s", need, oneOf(names)), "services", i, "needs", j)
			}
		}
	}
}

// routes checks the further database names; each service has a route of its own name.
func (c *checker) routes() {
	services := map[string]int{}
	for i, s := range c.text.GetServices() {
		services[s.GetName()] = i
	}
	teams := map[string]int{}
	for i, t := range c.text.GetTeams() {
		teams[t.GetName()] = i
	}
	names := map[string]string{}
	for i, s := range c.text.GetServices() {
		for j, r := range s.GetRoutes() {
			at := []step{"services", i, "routes", j, "name"}
			if _, taken := services[r.GetName()]; taken {
				c.add(fmt.Sprintf("route %q has the name of a service, expected a name of its own", r.GetName()), at...)
			} else if first, taken := names[r.GetName()]; taken {
				c.add(fmt.Sprintf("route %q is already at %s, expected a name of its own", r.GetName(), first), at...)
			} else {
				names[r.GetName()] = field(at)
			}
			c.routeTeam(teams, r, i, j)
		}
	}
}

func (c *checker) routeTeam(teams map[string]int, r *fleetpb.Route, i, j int) {
	if r.GetTeam() == "" {
		if r.GetOpen() {
			c.add(fmt.Sprintf("open route %q names no team, expected the team whose rate limits it", r.GetName()),
				"services", i, "routes", j, "team")
		}
		return
	}
	if _, known := teams[r.GetTeam()]; !known {
		c.add(fmt.Sprintf("unknown team %q, expected %s", r.GetTeam(), oneOf(teams)), "services", i, "routes", j, "team")
	}
	if !r.GetOpen() {
		c.add(fmt.Sprintf("route %q names a team but is not open, expected open: true or no team", r.GetName()),
			"services", i, "routes", j, "team")
	}
}

// cycles reports each cycle of dependencies once, at the entry that closes it.
func (c *checker) cycles() {
	services := c.text.GetServices()
	index := map[string]int{}
	for i, s := range services {
		if _, taken := index[s.GetName()]; !taken {
			index[s.GetName()] = i
		}
	}
	const (
		unseen = iota
		open
		done
	)
	state := make([]int, len(services))
	var path []string
	var visit func(i int)
	visit = func(i int) {
		state[i] = open
		path = append(path, services[i].GetName())
		for j, need := range services[i].GetNeeds() {
			next, known := index[need]
			switch {
			case !known || state[next] == done:
			case state[next] == open:
				cycle := append(slices.Clone(path[slices.Index(path, need):]), need)
				c.add(fmt.Sprintf("cycle of dependencies %s, expected none", strings.Join(cycle, " -> ")),
					"services", i, "needs", j)
			default:
				visit(next)
			}
		}
		path = path[:len(path)-1]
		state[i] = done
	}
	for i := range services {
		if state[i] == unseen {
			visit(i)
		}
	}
}

// unique reports name when an earlier element of its list has it; empty names are reported by the schema's rules.
func (c *checker) unique(names map[string]int, name string, i int, at ...step) {
	first, taken := names[name]
	if !taken {
		names[name] = i
		return
	}
	if name == "" {
		return
	}
	node := c.find(slices.Replace(slices.Clone(at), len(at)-lastIndex(at), len(at)-lastIndex(at)+1, step(first)))
	c.add(fmt.Sprintf("duplicate name %q, first at line %d, expected each name once", name, node.Line), at...)
}

// lastIndex returns how far from the end of a path its last index is.
func lastIndex(at []step) int {
	for back := 1; back <= len(at); back++ {
		if _, index := at[len(at)-back].(int); index {
			return back
		}
	}
	return 0
}

func (c *checker) add(problem string, at ...step) {
	node := c.find(at)
	c.mistakes = append(c.mistakes, Mistake{
		File: c.file, Line: node.Line, Column: node.Column, Field: field(at), Problem: problem, Rule: true,
	})
}

// find returns the node at a path, or its nearest parent that the source has.
func (c *checker) find(at []step) *yaml.Node {
	node := c.root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	for _, s := range at {
		next := child(node, s)
		if next == nil {
			return node
		}
		node = next
	}
	return node
}

func child(node *yaml.Node, s step) *yaml.Node {
	switch s := s.(type) {
	case int:
		if node.Kind == yaml.SequenceNode && s < len(node.Content) {
			return node.Content[s]
		}
	case string:
		for i := 0; node.Kind == yaml.MappingNode && i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == s {
				return node.Content[i+1]
			}
		}
	}
	return nil
}

func field(at []step) string {
	var b strings.Builder
	for _, s := range at {
		switch s := s.(type) {
		case int:
			b.WriteString("[" + strconv.Itoa(s) + "]")
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(s)
		}
	}
	return b.String()
}

func oneOf(names map[string]int) string {
	if len(names) == 0 {
		return "a name that the text defines, but it defines none"
	}
	known := make([]string, 0, len(names))
	for name := range names {
		known = append(known, name)
	}
	slices.Sort(known)
	return "one of " + strings.Join(known, ", ")
}
