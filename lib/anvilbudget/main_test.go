package anvilbudget

import (
	"testing"

	"anvilhold.org/lib/internal/anvilassert"
)

func TestMain(m *testing.M) { anvilassert.Main(m) }
