package main

import (
	"math/rand/v2"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
)

// newLog returns a logger that writes JSON lines to standard error.
func newLog() (logr.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	z, err := cfg.Build()
	if err != nil {
		return logr.Discard(), err
	}
	return zapr.NewLogger(z), nil
}

// randomPercent is the source of random percentages for injected faults.
type randomPercent struct{}

func (randomPercent) Percent() int { return rand.IntN(100) }
