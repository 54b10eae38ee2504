package anvilcell_test

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"anvilhold.org/load/anvilcell"
)

// TestMain runs the test binary in place of the programs of a cell if it is started under their names.
func TestMain(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case "anvilplatform":
		standInPlatform()
	case "anvilentry":
		standInEntry()
	default:
		os.Exit(m.Run())
	}
}

func standInPlatform() {
	f := flag.NewFlagSet("platform", flag.ExitOnError)
	addr := f.String("addr", "", "")
	id := f.String("id", "", "")
	trace := f.String("trace", "", "")
	size := f.String("size", "", "")
	for _, name := range []string{"lag", "writes", "reads", "platform", "domain", "region", "pool"} {
		f.String(name, "", "")
	}
	_ = f.Parse(os.Args[2:])
	if os.Args[1] == "worker" {
		line := fmt.Sprintf(`{"at":1,"kind":"boot","size":%q,"worker":%q,"boot":"%d"}`+"\n", *size, *id, os.Getpid())
		_ = os.WriteFile(*trace, []byte(line), 0o600)
	}
	serve(*addr)
}

func standInEntry() {
	var s struct {
		Listen struct{ Front string }
	}
	if _, err := toml.DecodeFile(os.Args[3], &s); err != nil {
		os.Exit(1)
	}
	serve(s.Listen.Front)
}

func serve(addr string) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		os.Exit(1)
	}
	// Serve fails only when the process exits.
	go func() { _ = http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	<-stop
}

func start(t *testing.T) *anvilcell.Cell {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	bin := t.TempDir()
	for _, name := range []string{"anvilplatform", "anvilentry"} {
		if err := os.Symlink(self, filepath.Join(bin, name)); err != nil {
			t.Fatal(err)
		}
	}
	c, err := anvilcell.Start(t.Context(), bin, t.TempDir(), anvilcell.NewPlan())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	return c
}

func assertNames(t *testing.T, c *anvilcell.Cell, role anvilcell.Role, want ...string) {
	t.Helper()
	if got := c.Names(role); !slices.Equal(got, want) {
		t.Errorf("got the processes %v of role %s, want %v", got, role, want)
	}
}

func assertReady(t *testing.T, addr string, want bool) {
	t.Helper()
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/ready")
	if err == nil {
		_ = resp.Body.Close()
	}
	if (err == nil) != want {
		t.Errorf("got error %v from %s, want ready %t", err, addr, want)
	}
}

func assertNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

// Guards against a harness that reports an error of its own as a fault of the programs.
func TestCell(t *testing.T) {
	c := start(t)
	t.Run("starts the processes of the plan", func(t *testing.T) {
		assertNames(t, c, anvilcell.EntryRole, "e1", "e2", "e3")
		assertNames(t, c, anvilcell.WorkerRole, "w1", "w2", "w3", "w4", "w5", "w6")
	})
	t.Run("pauses and resumes", func(t *testing.T) {
		assertNoError(t, c.Freeze("e1"))
		assertReady(t, c.Addr("e1"), false)
		assertNoError(t, c.Thaw("e1"))
		assertReady(t, c.Addr("e1"), true)
	})
	t.Run("replaces an entry instance under a new name", func(t *testing.T) {
		assertNoError(t, c.Kill("e1"))
		name, err := c.StartEntry(0)
		assertNoError(t, err)
		assertNoError(t, c.WaitReady(t.Context(), name))
		assertNames(t, c, anvilcell.EntryRole, "e2", "e3", "e4")
	})
	t.Run("restarts a worker at its address", func(t *testing.T) {
		addr := c.Addr("w1")
		assertNoError(t, c.Kill("w1"))
		_, err := c.StartWorker(0)
		assertNoError(t, err)
		assertNoError(t, c.WaitListening(t.Context(), "w1"))
		if got := c.Addr("w1"); got != addr {
			t.Errorf("got address %s, want %s", got, addr)
		}
	})
	t.Run("stops gracefully", func(t *testing.T) {
		if code, err := c.Stop("e2"); err != nil || code != 0 {
			t.Errorf("got status %d and error %v, want 0 and none", code, err)
		}
	})
	t.Run("has no unexpected exits", func(t *testing.T) {
		e, err := c.Evidence()
		assertNoError(t, err)
		if got := e.Exits(); len(got) != 0 {
			t.Errorf("got exits %v, want none", got)
		}
	})
	t.Run("stops all other processes", func(t *testing.T) {
		assertNoError(t, c.StopAll(5*time.Second))
		assertNames(t, c, anvilcell.WorkerRole)
	})
}
