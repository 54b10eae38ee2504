package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"anvilentry": main})
}

// Guards against commands whose output or exit status differs from their man page.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
