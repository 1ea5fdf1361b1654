package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/platform/standin"
)

func TestThePlatformsDemoServesWhatItsHelpShows(t *testing.T) {
	is := is.New(t)
	addr, err := freeLoopback()
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var out bytes.Buffer
	ended := make(chan error, 1)
	go func() { ended <- runPlatformDemo(ctx, addr, &out, logr.Discard()) }()
	body := ""
	for end := time.Now().Add(10 * time.Second); body == "" && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/book/x", strings.NewReader("kits"))
		is.NoErr(err)
		req.Host = standin.Host
		req.Header.Set("Credential", standin.APIKey)
		req.Header.Set("Attempt-Id", "2")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		if resp.StatusCode == http.StatusOK {
			body = string(data)
		}
	}
	is.Equal(body, "answer of 2")
	stop()
	is.NoErr(<-ended)
	is.True(strings.Contains(out.String(), addr))
}
