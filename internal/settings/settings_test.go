package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const processYAML = `process:
  name: router-1
  peer_addr: 10.0.0.1:7000
  zone: za-1
  fleet_token_file: /run/fleet
  platform_addr: 10.0.0.9:2379
`

func TestParsedSettingsHaveSchemaDefaults(t *testing.T) {
	is := is.New(t)
	r, err := ParseRouter("r.yaml", []byte(processYAML+"operator_token_file: /run/op\n"))
	is.NoErr(err)
	is.Equal(r.GetCallerAddr(), "127.0.0.1:8080")
	is.Equal(r.GetOperatorAddr(), "127.0.0.1:8081")
	is.Equal(r.GetMaxBodyBytes(), int64(4194304))
	is.Equal(r.GetReadTimeout().AsDuration(), 10*time.Second)
	is.Equal(r.GetDrainTimeout().AsDuration(), 150*time.Second)
	is.Equal(r.GetProcess().GetLogLevel(), "info")
	s, err := ParseSidecar("s.yaml", []byte(processYAML+"target: t-1\ntarget_url: http://127.0.0.1:9000\n"))
	is.NoErr(err)
	is.Equal(s.GetBufferBytes(), int64(67108864))
}

func TestFaultsNameFileLineAndExpectedValue(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"unknown field", processYAML + "operator_token_file: /x\ncolour: red\n",
			[]string{`r.yaml:8: unknown field "colour", expected one of [process caller_addr`}},
		{"nested unknown field", processYAML + "  shoe: 1\noperator_token_file: /x\n",
			[]string{`r.yaml:7: unknown field "shoe", expected one of [name peer_addr`}},
		{"missing fields", "caller_addr: 127.0.0.1:80\n", []string{
			"r.yaml:1: process.name: required field is missing, expected 1 to 64 letters",
			"r.yaml:1: process.peer_addr: required field is missing, expected an IP address and port",
			"process.zone", "process.fleet_token_file", "process.platform_addr", "operator_token_file"}},
		{"all faults at once", processYAML + "operator_token_file: /x\ncaller_addr: localhost\nmax_body_bytes: 0\n" +
			"read_timeout: -1s\ndrain_timeout: soon\n", []string{
			"r.yaml:8: caller_addr: value is not valid, expected an IP address and port",
			"r.yaml:9: max_body_bytes: value is not valid, expected a number of bytes above zero",
			"r.yaml:10: read_timeout: value is not valid, expected a duration above zero",
			"r.yaml:11: drain_timeout: invalid number, expected a duration above zero"}},
		{"wrong type", processYAML + "operator_token_file: /x\nmax_body_bytes: many\n",
			[]string{"r.yaml:8: max_body_bytes: invalid integer"}},
		{"list instead of string", processYAML + "operator_token_file: [a]\n",
			[]string{"r.yaml:7: operator_token_file: found sequence, expected the path of a file"}},
		{"twice", processYAML + "operator_token_file: /x\noperator_token_file: /y\n",
			[]string{"r.yaml:8: operator_token_file: set a second time, first in line 7, expected one value"}},
		{"unknown log level", processYAML + "  log_level: loud\noperator_token_file: /x\n",
			[]string{"r.yaml:7: process.log_level: value is not valid, expected one of debug, info, error"}},
		{"not YAML", "a: [\n", []string{"expected one YAML document"}},
		{"two documents", processYAML + "---\na: 1\n", []string{"more than one document"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseRouter("r.yaml", []byte(test.text))
			var faults Faults
			is.True(errors.As(err, &faults))      // the error is a Faults
			is.Equal(len(faults), len(test.want)) // each fault is reported once
			for i, want := range test.want {
				if !strings.Contains(faults[i].String(), want) {
					t.Errorf("fault %d is %q, want it to contain %q", i, faults[i], want)
				}
			}
		})
	}
}

func TestMissingAndOversizedFiles(t *testing.T) {
	is := is.New(t)
	_, err := LoadRouter(filepath.Join(t.TempDir(), "none.yaml"))
	is.True(errors.Is(err, os.ErrNotExist))
	big := filepath.Join(t.TempDir(), "big.yaml")
	is.NoErr(os.WriteFile(big, make([]byte, MaxFileBytes+1), 0o600))
	_, err = LoadSidecar(big)
	var faults Faults
	is.True(errors.As(err, &faults))
}

func TestSecretIsRedactedInOutput(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(path, []byte("  0123456789abcdef\n"), 0o600))
	s, err := LoadSecret(path)
	is.NoErr(err)
	is.True(s.Equal("0123456789abcdef"))
	is.True(!s.Equal("0123456789abcdeg"))
	is.True(!Secret{}.Equal("")) // an empty secret matches no token
	encoded, err := json.Marshal(s)
	is.NoErr(err)
	printed := fmt.Sprintf("%v %+v %#v %s %s", s, s, s, s, encoded)
	is.True(!strings.Contains(printed, "0123456789abcdef"))
}
