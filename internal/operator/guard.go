// Package operator serves what operators read and send, behind their token.
package operator

import (
	"net/http"
	"strings"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/settings"
)

// Guard lets requests through that carry the operators' token: as a bearer, or
// as the password of basic authentication under any name, which the browser of
// a phone can send without scripts.
func Guard(token settings.Secret, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token.Equal(presented(r)) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", `Basic realm="zinniaquay operators", charset="UTF-8"`)
		errkind.Write(w, errkind.New(errkind.Unauthenticated, "send the operators' token as Authorization: Bearer TOKEN"))
	})
}

// presented returns the token that a request carries, or "".
func presented(r *http.Request) string {
	if bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return bearer
	}
	_, password, _ := r.BasicAuth()
	return password
}
