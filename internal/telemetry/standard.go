package telemetry

import (
	"log"
	"strings"

	"github.com/go-logr/logr"
)

// StandardLog returns a logger for packages that write lines to a log.Logger.
// Lines are logged at debug level: callers that disconnect cause most of them.
func StandardLog(logger logr.Logger) *log.Logger { return log.New(lineWriter{logger}, "", 0) }

type lineWriter struct{ log logr.Logger }

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.log.V(1).Info(strings.TrimSpace(string(p)))
	return len(p), nil
}
