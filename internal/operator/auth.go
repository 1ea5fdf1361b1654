// Package operator serves the HTTP API for operators, authenticated by a token.
package operator

import (
	"net/http"
	"strings"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/settings"
)

// RequireToken passes on only requests that carry the operators' token. The token
// is a bearer token or the password of basic authentication with any user name,
// which a browser on a phone can send without scripts.
func RequireToken(token settings.Secret, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token.Equal(requestToken(r)) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", `Basic realm="zinniaquay operators", charset="UTF-8"`)
		errkind.Write(w, errkind.New(errkind.Unauthenticated, "send the operators' token as Authorization: Bearer TOKEN"))
	})
}

// requestToken returns the token that a request carries, or "".
func requestToken(r *http.Request) string {
	if bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return bearer
	}
	_, password, _ := r.BasicAuth()
	return password
}
