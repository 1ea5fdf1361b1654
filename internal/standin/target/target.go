// Package target is a small stand-in for a model engine.
package target

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// tokens is how many tokens every answer has.
const tokens = 5

// Handler answers chat completions with a short stream.
func Handler(perToken time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Model  string `json:"model"`
			Stream bool   `json:"stream"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, "bad request", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range tokens {
			// The caller may have gone; the next write tells.
			_, _ = fmt.Fprintf(w, "data: {\"model\":%q,\"index\":%d}\n\n", body.Model, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(perToken)
		}
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	})
}
