package router

import (
	"testing"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

func TestNotRepeatableMatchesAmbiguousPaths(t *testing.T) {
	for _, c := range []struct {
		patternMethod, prefix string
		method, path          string
		want                  bool
	}{
		{"POST", "/bookings", "POST", "/bookings", true},
		{"POST", "/bookings", "POST", "/bookings/7", true},
		{"POST", "/bookings", "GET", "/bookings", false},
		{"POST", "/bookings", "POST", "/stock", false},
		{"", "/bookings", "GET", "/bookings", true},
		{"", "", "GET", "/anything", true},
		{"post", "/bookings", "POST", "/bookings", true},   // lowercase method
		{"POST", "bookings", "POST", "/bookings", true},    // no leading slash
		{"POST", "/bookings/", "POST", "/bookings", true},  // trailing slash
		{"POST", "/bookings", "POST", "/Bookings", true},   // a target may ignore case
		{"POST", "/bookings", "POST", "/bookings-2", true}, // prefix within a path segment
	} {
		is := is.New(t)
		s := &zinniaquayv1.Service{NotRepeatable: []*zinniaquayv1.RequestPattern{{Method: c.patternMethod, PathPrefix: c.prefix}}}
		is.Equal(notRepeatable(s, c.method, c.path), c.want)
	}
}

func TestTargetReceivesThePathThatWasChecked(t *testing.T) {
	for _, c := range []struct{ decoded, query, clean, sent string }{
		{"/stock/gloves", "size=9", "/stock/gloves", "/stock/gloves?size=9"},
		{"/stock/../bookings", "", "/bookings", "/bookings"},
		{"//bookings/", "", "/bookings", "/bookings"},
		{"/stock/%2e%2e/bookings", "", "/stock/%2e%2e/bookings", "/stock/%252e%252e/bookings"},
		{"/stock?/../bookings", "", "/bookings", "/bookings"},
		{"/stock?x#y", "", "/stock?x#y", "/stock%3Fx%23y"},
		{"/a b", "", "/a b", "/a%20b"},
	} {
		is := is.New(t)
		clean, sent := targetPath(c.decoded, c.query)
		is.Equal(clean, c.clean)
		is.Equal(sent, c.sent)
	}
}
