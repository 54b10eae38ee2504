package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"anvilhold.org/load/anvilscript"
)

const (
	// parallelScripts limits the cells that run at once; each has about ten processes.
	parallelScripts = 3
	// knownRedVariable is the environment variable that enables TestKnownRed.
	knownRedVariable = "ANVIL_RED"
)

// programs is the directory of the programs, which TestMain builds.
var programs string

func TestMain(m *testing.M) { os.Exit(testMain(m)) }

func testMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "anvilload-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for name, folder := range map[string]string{"anvilentry": "entry", "anvilplatform": "standin", "anvilnode": "platform"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, name), ".")
		cmd.Dir, cmd.Stdout, cmd.Stderr = filepath.Join("..", folder), os.Stderr, os.Stderr
		if err := cmd.Run(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n", folder, err)
			return 1
		}
	}
	programs = dir
	return m.Run()
}

func runScripts(t *testing.T, dir string) {
	t.Helper()
	testscript.Run(t, anvilscript.New(programs, anvilscript.WithParallel(parallelScripts)).Params(dir))
}

// Guards against a broken invariant under each failure that the design names. The head of each script describes
// its failure.
func TestScenarios(t *testing.T) { runScripts(t, filepath.Join("testdata", "script")) }

// Guards against a known failure that is considered fixed while its script still fails. KNOWN-RED.txt lists the
// known failures.
func TestKnownRed(t *testing.T) {
	if os.Getenv(knownRedVariable) == "" {
		t.Skipf("set %s=1 to run the known failures", knownRedVariable)
	}
	dir := filepath.Join("testdata", "red")
	if _, err := os.Stat(dir); err != nil {
		t.Skip("no failure is known")
	}
	runScripts(t, dir)
}
