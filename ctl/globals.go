package main

import (
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
)

const defaultAddr = "127.0.0.1:8001"

// globals holds the flags that precede the name of the command.
type globals struct {
	addr, key, ca string
	json, wait    bool
}

var global = declareGlobals(flag.CommandLine)

func declareGlobals(f *flag.FlagSet) *globals {
	g := &globals{}
	// $ANVIL_KEY is not the default value of -key, because the command flags prints default values.
	f.StringVar(&g.addr, "addr", "", "front addresses `IP:PORT,...` of entry instances (default $ANVIL_ADDR or "+defaultAddr+")")
	f.StringVar(&g.key, "key", "", "`SECRET` of an operator's key (default $ANVIL_KEY)")
	f.StringVar(&g.ca, "ca", "", "PEM `FILE` of the certificate authority of the entry instances; turns TLS on (default $ANVIL_CA)")
	f.BoolVar(&g.json, "json", false, "print JSON")
	f.BoolVar(&g.wait, "wait", false, "wait up to 10 s until a change is in force everywhere")
	for _, name := range []string{"addr", "key", "ca", "json", "wait"} {
		subcommands.ImportantFlag(name)
	}
	return g
}

// view is the result of a command in its two output formats.
type view interface {
	WriteText(w io.Writer) error
	WriteJSON(w io.Writer) error
}

// env is what commands share: the client, the streams that they write to and the global flags -json and -wait.
type env struct {
	client *anvilclient.Client
	stdout io.Writer
	stderr io.Writer
	json   bool
	wait   bool
}

// open returns an env with a client that the flags and environment variables configure. It doesn't connect.
func (g *globals) open() (*env, error) {
	addrs := strings.FieldsFunc(flagOrEnv(g.addr, "ANVIL_ADDR", defaultAddr), func(c rune) bool { return c == ',' || c == ' ' })
	if len(addrs) == 0 {
		return nil, usageError("-addr lists no address")
	}
	opts := []anvilclient.Option{anvilclient.WithKey(flagOrEnv(g.key, "ANVIL_KEY", ""))}
	if file := flagOrEnv(g.ca, "ANVIL_CA", ""); file != "" {
		roots, err := readRoots(file)
		if err != nil {
			return nil, err
		}
		opts = append(opts, anvilclient.WithRoots(roots))
	}
	return &env{client: anvilclient.New(addrs, opts...), stdout: os.Stdout, stderr: os.Stderr, json: g.json, wait: g.wait}, nil
}

func flagOrEnv(value, envVar, fallback string) string {
	if value != "" {
		return value
	}
	if value = os.Getenv(envVar); value != "" {
		return value
	}
	return fallback
}

func readRoots(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, errors.New(file + " contains no PEM certificate")
	}
	return roots, nil
}

// show prints v as JSON if -json is set, otherwise as text.
func (e *env) show(v view) error {
	if e.json {
		return v.WriteJSON(e.stdout)
	}
	return v.WriteText(e.stdout)
}

// note prints a line to standard error, so that standard output contains only the result.
func (e *env) note(format string, args ...any) { _, _ = fmt.Fprintf(e.stderr, format+"\n", args...) }
