package telemetry

import (
	"log"
	"strings"

	"github.com/go-logr/logr"
)

// StandardLog returns a logger for packages that write lines to a log.Logger.
// Its lines are for debugging: callers that break off cause most of them.
func StandardLog(to logr.Logger) *log.Logger { return log.New(lineWriter{to}, "", 0) }

type lineWriter struct{ log logr.Logger }

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.log.V(1).Info(strings.TrimSpace(string(p)))
	return len(p), nil
}
