package main

import (
	"fmt"
	"os"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLog returns a logger that writes JSON lines to standard error. It fails if level is not a level of zap.
func newLog(level string) (logr.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return logr.Logger{}, fmt.Errorf("log level: %w", err)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(os.Stderr), minLevel)
	return zapr.NewLogger(zap.New(core)), nil
}
