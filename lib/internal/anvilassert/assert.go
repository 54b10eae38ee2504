// Package anvilassert provides assertions that the tests of this module share.
package anvilassert

import (
	"flag"
	"os"
	"reflect"
	"testing"
)

// T is the part of a test that assertions use. *testing.T and *rapid.T implement it.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Equal fails the test unless got and want are deeply equal. what names the compared value in the message.
func Equal(t T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// True fails the test with the formatted message unless ok is true.
func True(t T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

// NoError fails the test when err is not nil.
func NoError(t T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// Main runs the tests of a package with fixed settings for property tests, among them the seed, so that every
// run is the same. It sets the flags before the command line is parsed, so a flag on the command line takes
// precedence. It doesn't return.
func Main(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "100", "rapid.steps": "60", "rapid.shrinktime": "10s", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
