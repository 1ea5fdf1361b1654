package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/settings"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

func TestDeploymentsHaveTheSizesOfToday(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := Find(name)
			is.NoErr(err)
			is.Equal(len(d.Zones), 3)
			is.Equal(len(d.Accounts), 16)
			models, plain := 0, 0
			for _, target := range d.Targets() {
				if target.Plain {
					plain++
					continue
				}
				models++
			}
			is.Equal(models, 12)
			is.Equal(plain, 3)
			port := 7000
			doc := d.Configuration(func(string) string { port++; return fmt.Sprintf("127.0.0.1:%d", port) })
			is.Equal(len(configstore.Validate(doc)), 0)
			is.Equal(len(doc.GetTargets()), 15) // no name twice
		})
	}
	_, err := Find("elsewhere")
	is.New(t).True(err != nil)
}

func TestDemoServesACallerAndDrains(t *testing.T) {
	is := is.New(t)
	d, err := Find("lankaroute")
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	f, err := Start(ctx, Options{Deployment: d, CallerAddr: anyPort, OperatorAddr: anyPort, Log: logr.Discard()})
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	is.NoErr(f.Wait(ctx))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.CallerAddr()+"/v1/chat/completions",
		strings.NewReader(`{"model":"roster-draft","stream":true,"max_tokens":9}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+d.Accounts[0].Key())
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	want := target.NewAnswer(target.ChatRequest{Model: "roster-draft", MaxTokens: 9}, res.Header.Get("X-Request-Id"), Version)
	is.Equal(string(body), string(want.Stream()))
	is.Equal(kindsOf(t, f, res.Header.Get("X-Request-Id")), []string{
		"router-1 request.accepted", "router-1 request.claimed", "sidecar request.started", "sidecar request.ended",
	})
	for _, kind := range []string{"router-1 process.started", "router-1 config.applied", "router-1 peer.joined", "sidecar config.applied"} {
		is.True(slices.Contains(kindsOf(t, f, ""), kind)) // the life of processes is on the time line as well
	}
	f.memory.SetFaults(platform.Faults{Down: true})
	for !slices.ContainsFunc(kindsOf(t, f, ""), func(kind string) bool { return strings.HasSuffix(kind, " platform.lost") }) {
		time.Sleep(50 * time.Millisecond)
	}
	stop()
	is.NoErr(<-ended)
}

// kindsOf returns the time line of a request, or of everything.
func kindsOf(t *testing.T, f *Fleet, id string) []string {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.OperatorAddr()+"/v1/timeline?request_id="+id, nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+f.Token())
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	var view timeline.View
	is.NoErr(json.NewDecoder(res.Body).Decode(&view))
	is.NoErr(res.Body.Close())
	is.Equal(len(view.Silent), 0)
	var kinds []string
	for _, e := range view.Events {
		process := e.Process
		if strings.HasPrefix(process, "sidecar-") {
			process = "sidecar"
		}
		kinds = append(kinds, process+" "+e.Kind)
	}
	return kinds
}

func TestExamplesAreSoundAndWhatTheDeploymentsGive(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := Find(name)
			is.NoErr(err)
			files, err := d.Example()
			is.NoErr(err)
			for file, want := range files {
				path := filepath.Join("../../examples", name, file)
				have, err := os.ReadFile(path)
				is.NoErr(err)
				is.Equal(string(have), string(want)) // stale: run go generate ./internal/demo
				switch {
				case strings.HasPrefix(file, "router"):
					_, err = settings.LoadRouter(path)
				case strings.HasPrefix(file, "sidecar"):
					_, err = settings.LoadSidecar(path)
				}
				is.NoErr(err)
			}
		})
	}
}
