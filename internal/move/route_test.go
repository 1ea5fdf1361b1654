package move

import (
	"testing"

	"github.com/matryer/is"
)

func TestRouteOf(t *testing.T) {
	for _, c := range []struct{ method, path, want string }{
		{"POST", "/v1/chat/completions", "POST /v1/chat/completions"},
		{"POST", "/bookings/4711?depot=5", "POST /bookings/:id"},
		{"PUT", "/stock/a1b2/items/7", "PUT /stock/:id/items"},
		{"GET", "/", "GET /"},
		{"GET", "", "GET /"},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			is.Equal(RouteOf(c.method, c.path), c.want)
		})
	}
}
