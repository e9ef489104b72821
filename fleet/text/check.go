package text

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"tamarackshunt.dev/fleet/fleetpb"
)

// checker collects mistakes in the references between the sections of one text.
type checker struct {
	file     string
	root     *yaml.Node
	text     *fleetpb.Text
	mistakes []Mistake
}

// pathElement is one part of the path to a field: a string for a name, or an int for the index of an element.
type pathElement any

func (c *checker) check() {
	c.checkZones()
	c.checkTeams()
	c.checkServices()
	c.checkRoutes()
	c.checkCycles()
}

func (c *checker) checkZones() {
	zones := c.text.GetZones()
	names := map[string]int{}
	in := 0
	for i, z := range zones {
		c.checkUnique(names, z.GetName(), i, "zones", i, "name")
		if !z.GetOut() {
			in++
		}
	}
	if len(zones) > 0 && in == 0 {
		c.addMistake("every zone is out of service, expected at least one that is not", "zones")
	}
}

func (c *checker) checkTeams() {
	names := map[string]int{}
	for i, t := range c.text.GetTeams() {
		c.checkUnique(names, t.GetName(), i, "teams", i, "name")
	}
}

func (c *checker) checkServices() {
	names := map[string]int{}
	for i, s := range c.text.GetServices() {
		c.checkUnique(names, s.GetName(), i, "services", i, "name")
	}
	for i, s := range c.text.GetServices() {
		needed := map[string]int{}
		for j, need := range s.GetNeeds() {
			c.checkUnique(needed, need, j, "services", i, "needs", j)
			if _, known := names[need]; !known {
				c.addMistake(fmt.Sprintf("unknown service %q, expected %s", need, oneOf(names)), "services", i, "needs", j)
			}
		}
	}
}

// checkRoutes checks the additional routes of services. Each service also has an implicit route with the service's name.
func (c *checker) checkRoutes() {
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
			at := []pathElement{"services", i, "routes", j, "name"}
			if _, taken := services[r.GetName()]; taken {
				c.addMistake(fmt.Sprintf("route %q has the name of a service, expected a name of its own", r.GetName()), at...)
			} else if first, taken := names[r.GetName()]; taken {
				c.addMistake(fmt.Sprintf("route %q is already at %s, expected a name of its own", r.GetName(), first), at...)
			} else {
				names[r.GetName()] = formatPath(at)
			}
			c.checkRouteTeam(teams, r, i, j)
		}
	}
}

func (c *checker) checkRouteTeam(teams map[string]int, r *fleetpb.Route, i, j int) {
	if r.GetTeam() == "" {
		if r.GetOpen() {
			c.addMistake(fmt.Sprintf("open route %q names no team, expected the team whose rate limits it", r.GetName()),
				"services", i, "routes", j, "team")
		}
		return
	}
	if _, known := teams[r.GetTeam()]; !known {
		c.addMistake(fmt.Sprintf("unknown team %q, expected %s", r.GetTeam(), oneOf(teams)), "services", i, "routes", j, "team")
	}
	if !r.GetOpen() {
		c.addMistake(fmt.Sprintf("route %q names a team but is not open, expected open: true or no team", r.GetName()),
			"services", i, "routes", j, "team")
	}
}

// checkCycles reports each dependency cycle once, at the entry that closes it.
func (c *checker) checkCycles() {
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
				c.addMistake(fmt.Sprintf("cycle of dependencies %s, expected none", strings.Join(cycle, " -> ")),
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

// checkUnique reports name when an earlier element of its list has the same one. Names maps the names so far to the index of
// their first element, i is the index of this element, and at is the path to its name; the path to the first element's name
// differs only in the last index. Empty names violate the schema's rules, which report them.
func (c *checker) checkUnique(names map[string]int, name string, i int, at ...pathElement) {
	first, taken := names[name]
	if !taken {
		names[name] = i
		return
	}
	if name == "" {
		return
	}
	node := c.findNode(slices.Replace(slices.Clone(at), len(at)-lastIndexFromEnd(at), len(at)-lastIndexFromEnd(at)+1, pathElement(first)))
	c.addMistake(fmt.Sprintf("duplicate name %q, first at line %d, expected each name once", name, node.Line), at...)
}

// lastIndexFromEnd returns the distance of the last index in a path from the path's end, or 0 when the path has no index.
func lastIndexFromEnd(at []pathElement) int {
	for back := 1; back <= len(at); back++ {
		if _, index := at[len(at)-back].(int); index {
			return back
		}
	}
	return 0
}

func (c *checker) addMistake(problem string, at ...pathElement) {
	node := c.findNode(at)
	c.mistakes = append(c.mistakes, Mistake{
		File: c.file, Line: node.Line, Column: node.Column, Field: formatPath(at), Problem: problem, Rule: true,
	})
}

// findNode returns the node at a path, or its nearest ancestor that exists in the source.
func (c *checker) findNode(at []pathElement) *yaml.Node {
	node := c.root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	for _, s := range at {
		next := childNode(node, s)
		if next == nil {
			return node
		}
		node = next
	}
	return node
}

func childNode(node *yaml.Node, s pathElement) *yaml.Node {
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

func formatPath(at []pathElement) string {
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
