package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(folder string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2])
}
