package demo

import (
	"bytes"
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
)

// Ports of an example on loopback. Each deployment has a block of its own.
const (
	firstBlock     = 17000
	blockSize      = 1000
	platformOffset = 379
	routerOffset   = 400
	sidecarOffset  = 500
	targetOffset   = 600
	exampleRouters = 2
	firstCaller    = 8080
)

// Example returns the files of a deployment as separate processes, by name.
func (d Deployment) Example() (map[string][]byte, error) {
	base := firstBlock
	for i, name := range Names() {
		if name == d.Name {
			base += i * blockSize
		}
	}
	local := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	files := make(map[string][]byte)
	sidecars := make(map[string]string)
	for i, t := range d.Targets() {
		sidecars[t.Name] = local(base + sidecarOffset + i)
		files["sidecar-"+t.Name+".yaml"] = fmt.Appendf(nil, sidecarText, "sidecar-"+t.Name, sidecars[t.Name], t.Zone,
			local(base+platformOffset), t.Name, local(base+targetOffset+i))
	}
	for i := range exampleRouters {
		name := fmt.Sprintf("router-%d", i+1)
		files[name+".yaml"] = fmt.Appendf(nil, routerText, name, local(base+routerOffset+i), d.Zones[i], local(base+platformOffset),
			local(firstCaller+2*i), local(firstCaller+2*i+1))
	}
	config, err := d.configurationFile(sidecars)
	files["configuration.json"] = config
	return files, err
}

const processText = `process:
  name: %s
  peer_addr: %s
  zone: %s
  fleet_token_file: fleet.token
  platform_addr: %s
`

const sidecarText = processText + `target: %s
target_url: http://%s
`

const routerText = processText + `caller_addr: %s
operator_addr: %s
operator_token_file: operator.token
`

func (d Deployment) configurationFile(sidecars map[string]string) ([]byte, error) {
	doc, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(d.Configuration(func(name string) string { return sidecars[name] }))
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var b bytes.Buffer
	// The library varies its white space on purpose, so it is laid out anew.
	if err := json.Indent(&b, doc, "", "  "); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}
