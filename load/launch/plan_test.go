package launch

import (
	"bytes"
	"fmt"
	"path/filepath"
	"testing"

	"buf.build/go/protoyaml"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/settings"
)

// Guards against a plan with a wrong address or availability zone: the fleet would start, but its measurements would be of
// another layout. The golden file holds all settings of a fleet with relays.
func TestPlanOfASmallFleetWithRelays(t *testing.T) {
	d, err := ReadDeployment("../deployments/small.yaml")
	require.NoError(t, err)
	plain, relays := addressCount(d)
	var free []string
	for i := range plain + relays {
		free = append(free, fmt.Sprintf("127.0.0.1:%d", 7001+i))
	}
	secrets := &fleetpb.Secrets{
		Fleet: "fleet-0123456789", Operator: "operator-0123456789", Announce: "announce-0123456789", User: "tamarack", Password: "upstream",
	}
	p := newPlan(d, "/run", secrets, free)
	p.addRelays(free[plain:])
	var all bytes.Buffer
	printSettings := func(name string, message, empty proto.Message) {
		data, err := protoyaml.MarshalOptions{Indent: 2}.Marshal(message)
		require.NoError(t, err)
		require.NoError(t, settings.Parse(name, data, empty), "a program reads what the launcher writes")
		fmt.Fprintf(&all, "--- %s\n%s", name, data)
	}
	for _, s := range p.hosts {
		printSettings(s.GetHost(), s, &fleetpb.HostSettings{})
	}
	for _, s := range p.standins {
		printSettings(s.GetUpstream(), s, &fleetpb.StandinSettings{})
	}
	printSettings("operator", p.operator, &fleetpb.OperatorSettings{})
	for _, r := range p.relays {
		fmt.Fprintf(&all, "relay at %s to %s of %s\n", r.address, r.target, r.name)
	}
	goldie.New(t).Assert(t, "small", all.Bytes())
}

// Guards against starting processes of an invalid deployment; the built-in deployments must be valid.
func TestDeploymentMistakes(t *testing.T) {
	files, err := filepath.Glob("../deployments/*.yaml")
	require.NoError(t, err)
	require.Len(t, files, 3)
	for _, file := range files {
		_, err := ReadDeployment(file)
		require.NoError(t, err)
	}
	text := "text: {zones: [{name: a, region: r}], services: [{name: s, upstreams: 1, slots: 1, connections: 5, age: 1s, deadline: 1s}]}\n"
	cases := map[string]string{
		"name: x\nhosts: [{host: h, zone: b, control: true}]\n" + text:                                    `unknown zone "b"`,
		"name: x\nhosts: [{host: h, zone: a, control: true}, {host: h, zone: a}]\n" + text:                "named twice",
		"name: x\nhosts: [{host: h, zone: a}]\n" + text:                                                   "odd number",
		"name: x\nhosts: [{host: h, zone: a, control: true}]\nlags: 1s\n" + text:                          "lags",
		"name: x\nhosts: [{host: h, zone: a, control: true}, {host: i, zone: a, control: true}]\n" + text: "odd number",
	}
	for source, want := range cases {
		_, err := ParseDeployment("x.yaml", []byte(source))
		require.ErrorContains(t, err, want)
	}
}
