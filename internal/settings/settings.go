// Package settings reads the YAML settings file of a process into the protobuf
// messages of the schema. All faults of a file are reported at once, each with
// its line and the expected value. The schema's comments document the defaults.
package settings

import (
	"fmt"
	"os"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

//go:generate go run ./docgen -out ../../docs

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// LoadRouter reads the settings of a router and sets defaults. The error is a
// Faults if the file is readable but not valid.
func LoadRouter(path string) (*zinniaquayv1.RouterSettings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseRouter(path, data)
}

// LoadSidecar reads the settings of a sidecar and sets defaults. The error is a
// Faults if the file is readable but not valid.
func LoadSidecar(path string) (*zinniaquayv1.SidecarSettings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSidecar(path, data)
}

// ParseRouter is like LoadRouter for data already read; path is used only in
// faults.
func ParseRouter(path string, data []byte) (*zinniaquayv1.RouterSettings, error) {
	s := &zinniaquayv1.RouterSettings{Process: &zinniaquayv1.ProcessSettings{}}
	if err := parse(path, data, s, func() []rule { return routerRules(s) }); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseSidecar is like LoadSidecar for data already read; path is used only in
// faults.
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
