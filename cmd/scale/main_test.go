package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// execute runs a command and returns its exit code and its output.
func execute(arguments ...string) (code int, stdout, stderr string) {
	var out, err strings.Builder
	code = run(arguments, &out, &err)
	return code, out.String(), err.String()
}

func TestInvalidArgumentsReportOneLineAndExitError(t *testing.T) {
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
		{"list", "no/such/list"},
		{"list", "main.go"},
		{"list", "--repeats", "0", "main.go"},
		{"run", "--ingress", "no/such/program"},
		{"run", "--ingress", "main.go", "--ingresses", "1"},
		{"run", "--ingress", "main.go", "--real", "810"},
		{"run", "--ingress", "main.go", "--rate", "0"},
		{"run", "--ingress", "main.go", "--replaced", "2"},
		{"run", "--ingress", "main.go", "--cut", "-1s"},
		{"run", "--ingress", "main.go", "--budgets", "ignore"},
		{"run", "--ingress", "main.go", "--ingresses", "5000", "--backends", "100000"},
	} {
		code, stdout, stderr := execute(arguments...)
		if code != exitError || stdout != "" || !strings.HasPrefix(stderr, "scale: ") || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%q gives code %d, output %q, errors %q; want one line of errors and code %d", arguments, code, stdout, stderr, exitError)
		}
	}
}

func TestHelpListsFlags(t *testing.T) {
	code, stdout, stderr := execute("slopes", "--help")
	if code != exitOK || stderr != "" || !strings.Contains(stdout, "--repeats") {
		t.Errorf("code %d, output %q, errors %q", code, stdout, stderr)
	}
}

func TestListReportsFigures(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.json")
	list := `{"revision":1,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"SERVING","size":1}]}`
	if err := os.WriteFile(path, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	results := filepath.Join(t.TempDir(), "results.json")
	code, stdout, stderr := execute("list", "--repeats", "2", "--json", results, path)
	if code != exitOK || stderr != "" || !strings.Contains(stdout, fmt.Sprintf("| text | %.3g | KB |", float64(len(list))/1e3)) {
		t.Errorf("code %d, output %q, errors %q", code, stdout, stderr)
	}
	if text, err := os.ReadFile(results); err != nil || !strings.Contains(string(text), `"figures"`) {
		t.Errorf("the results are %q, %v", text, err)
	}
}
