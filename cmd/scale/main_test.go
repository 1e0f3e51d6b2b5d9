package main

import (
	"strings"
	"testing"
)

// call runs a command and returns its exit code and what it printed.
func call(arguments ...string) (code int, stdout, stderr string) {
	var out, err strings.Builder
	code = run(arguments, &out, &err)
	return code, out.String(), err.String()
}

func TestWhatCantBeUsedIsOneLineAndCodeTwo(t *testing.T) {
	for _, arguments := range [][]string{
		{},
		{"nothing"},
		{"slopes", "--unknown"},
		{"slopes", "--ingress", "no/such/program"},
		{"slopes", "--ingress", "main.go", "--repeats", "0"},
		{"slopes", "--ingress", "main.go", "--backends", "1000"},
		{"slopes", "--ingress", "main.go", "--backends", "1000,many"},
		{"slopes", "--ingress", "main.go", "--backends", "-5,1000"},
		{"slopes", "--ingress", "main.go", "--tenants", "1000,1000000000"},
		{"slopes", "--ingress", "main.go", "--logs", "loud"},
		{"run", "--ingress", "no/such/program"},
		{"run", "--ingress", "main.go", "--ingresses", "1"},
		{"run", "--ingress", "main.go", "--real", "810"},
		{"run", "--ingress", "main.go", "--rate", "0"},
		{"run", "--ingress", "main.go", "--replaced", "2"},
		{"run", "--ingress", "main.go", "--cut", "-1s"},
		{"run", "--ingress", "main.go", "--budgets", "ignore"},
		{"run", "--ingress", "main.go", "--ingresses", "5000", "--backends", "100000"},
	} {
		code, stdout, stderr := call(arguments...)
		if code != exitUnusable || stdout != "" || !strings.HasPrefix(stderr, "scale: ") || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%q gives code %d, output %q, errors %q; want one line and code %d", arguments, code, stdout, stderr, exitUnusable)
		}
	}
}

func TestHelpNamesTheFlags(t *testing.T) {
	code, stdout, stderr := call("slopes", "--help")
	if code != exitDone || stderr != "" || !strings.Contains(stdout, "--repeats") {
		t.Errorf("code %d, output %q, errors %q", code, stdout, stderr)
	}
}
