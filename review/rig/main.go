// Command rig plays the cases of the second review against the programs of the deploy file, with stand-ins of the
// platform's store, of minions and of clients in its own process.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	couldnt   = 2
	caseUsage = "usage: rig CASE DIR"
)

var cases = map[string]func(s *site, trouble bool) (violations []string, err error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, caseUsage)
		return couldnt
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	defer s.close(os.Getenv("KEEP") != "")
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", filepath.Clean(s.dir))
	}
	s.rec.log("case", os.Args[1], "trouble", trouble)
	violations, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		s.rec.log("couldn't run:", err)
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		return couldnt
	case len(violations) > 0:
		for _, v := range violations {
			s.rec.log("BROKEN", v)
		}
		fmt.Printf("broken %d times, first: %s\n", len(violations), violations[0])
		return broken
	}
	s.rec.log("held")
	fmt.Println("held")
	return held
}
