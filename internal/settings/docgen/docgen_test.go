package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestPagesMatchSchema(t *testing.T) {
	for _, p := range pages {
		t.Run(p.file, func(t *testing.T) {
			is := is.New(t)
			want, err := render(p, filepath.Join("../../../gen/zinniaquay/v1", p.source))
			is.NoErr(err)
			got, err := os.ReadFile(filepath.Join("../../../docs", p.file))
			is.NoErr(err)
			is.Equal(string(got), string(want)) // the page is stale: run go generate ./internal/settings
		})
	}
}
