package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

// fixedCodec decodes the same attempt from every request.
type fixedCodec struct {
	HeaderCodec
	attempt Attempt
}

func (c fixedCodec) DecodeRequest(http.Header) (Attempt, error) { return c.attempt, nil }
func (c fixedCodec) RequestIDHeader() string                    { return "Request" }
func (c fixedCodec) SetOwnHeaders(h http.Header, id string)     { h.Set("Request", id) }

// Guards against shares that leave out requests shed for lack of processor time.
func TestRequestsThatAreShedCountAsRequestedByTheirAccount(t *testing.T) {
	is := is.New(t)
	view := &catalog.View{Config: &catalog.Configuration{Accounts: map[string]*catalog.Account{"key": {Name: "a"}}}}
	attempt := Attempt{ID: "1", APIKey: "key", TokensIn: 1000, TokensOut: 100}
	g := New(Settings{Bounds: Bounds{ShareWindow: time.Hour}}, fixedCodec{attempt: attempt}, fixedView{view}, metrics.NewRegistry(), logr.Discard())
	g.shedder.shedPermille.Store(1000)
	for range 10 * shedSampling {
		is.True(g.shed(&call{r: httptest.NewRequest(http.MethodPost, "/", nil)}) != nil)
	}
	report := g.scheduler.usageReport()
	is.Equal(len(report.Accounts), 1)
	is.Equal(report.Accounts[0].Account, dispatch.AccountHash("a"))
	want := 10 * shedSampling * dispatch.RequestSize(1000, 100)
	is.True(report.Accounts[0].Requested > 0.99*want && report.Accounts[0].Requested <= want)
}
