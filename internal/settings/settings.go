// Package settings reads the YAML settings of a process into the messages of
// the schema. Every fault of a file is reported at once, with its line and the
// value that is expected there; defaults are those that the schema's comments
// state.
package settings

import (
	"fmt"
	"os"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

//go:generate go run ./docgen -out ../../docs

// MaxFileBytes is the largest settings file that is read.
const MaxFileBytes = 1 << 20

// LoadRouter reads the settings of a router and fills in defaults. Its error is
// a Faults if the file can be read but is wrong.
func LoadRouter(path string) (*zinniaquayv1.RouterSettings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseRouter(path, data)
}

// LoadSidecar reads the settings of a sidecar and fills in defaults. Its error
// is a Faults if the file can be read but is wrong.
func LoadSidecar(path string) (*zinniaquayv1.SidecarSettings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSidecar(path, data)
}

// ParseRouter is LoadRouter for a text that came from the file at path.
func ParseRouter(path string, data []byte) (*zinniaquayv1.RouterSettings, error) {
	s := &zinniaquayv1.RouterSettings{Process: &zinniaquayv1.ProcessSettings{}}
	if err := parse(path, data, s, func() []rule { return routerRules(s) }); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseSidecar is LoadSidecar for a text that came from the file at path.
func ParseSidecar(path string, data []byte) (*zinniaquayv1.SidecarSettings, error) {
	s := &zinniaquayv1.SidecarSettings{Process: &zinniaquayv1.ProcessSettings{}}
	if err := parse(path, data, s, func() []rule { return sidecarRules(s) }); err != nil {
		return nil, err
	}
	return s, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if info.Size() > MaxFileBytes {
		return nil, Faults{{File: path, Problem: fmt.Sprintf("file is %d bytes long", info.Size()),
			Expected: fmt.Sprintf("at most %d bytes", MaxFileBytes)}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return data, nil
}
