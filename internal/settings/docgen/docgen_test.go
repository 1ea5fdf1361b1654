package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestPagesAreWhatTheSchemaGives(t *testing.T) {
	for _, p := range pages {
		t.Run(p.file, func(t *testing.T) {
			is := is.New(t)
			want, err := render(p, filepath.Join("../../../gen/zinniaquay/v1", p.source))
			is.NoErr(err)
			have, err := os.ReadFile(filepath.Join("../../../docs", p.file))
			is.NoErr(err)
			is.Equal(string(have), string(want)) // stale: run go generate ./internal/settings
		})
	}
}
