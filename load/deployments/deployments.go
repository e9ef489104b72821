// Package deployments holds the deployment files that are built into the load program.
package deployments

import (
	"embed"
	"strings"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/load/launch"
)

//go:embed *.yaml
var files embed.FS

// Load returns the built-in deployment with a name, or the deployment in a file if the name is a path to a .yaml file.
func Load(name string) (*fleetpb.Deployment, error) {
	if strings.HasSuffix(name, ".yaml") {
		return launch.ReadDeployment(name)
	}
	data, err := files.ReadFile(name + ".yaml")
	if err != nil {
		return nil, trace.BadParameter("no deployment %q, expected %s or a path to a .yaml file", name, strings.Join(Names(), ", "))
	}
	return launch.ParseDeployment(name+".yaml", data)
}

// Names returns the names of the built-in deployments.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".yaml"))
	}
	return names
}
