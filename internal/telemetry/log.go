// Package telemetry provides the logs and metrics of a process: structured JSON
// lines behind logr, and a go-metrics registry that /metrics exposes as text.
package telemetry

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Keys of log fields that are used by several packages.
const (
	// KeyRequest is the key of a request's ID.
	KeyRequest = "request_id"
	// KeyAccount is the key of a client account's name.
	KeyAccount = "account"
	// KeyProcess is the key of a process's name.
	KeyProcess = "process"
)

// debugLevel is the zap level of logr's V(1).
const debugLevel = zapcore.Level(-1)

// NewLogger returns a logger that writes one JSON object per line to w. Each line
// has the name of the process. level is debug, info or error.
func NewLogger(w io.Writer, level, process string) (logr.Logger, error) {
	threshold, err := parseLevel(level)
	if err != nil {
		return logr.Discard(), err
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(w)), threshold)
	return zapr.NewLogger(zap.New(core)).WithValues(KeyProcess, process), nil
}

func parseLevel(level string) (zapcore.Level, error) {
	switch level {
	case "debug":
		return debugLevel, nil
	case "info":
		return zapcore.InfoLevel, nil
	case "error":
		return zapcore.ErrorLevel, nil
	}
	return 0, fmt.Errorf("telemetry: unknown log level %q, expected debug, info or error", level)
}
