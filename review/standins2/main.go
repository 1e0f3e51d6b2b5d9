// Command standins2 plays one case of the review.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(*rig){
	"gone-clients":    goneClients,
	"slow-discovery":  slowDiscovery,
	"small-memory":    smallMemory,
	"stopped-clients": stoppedClients,
}

func main() { os.Exit(play()) }

func play() (code int) {
	name := flag.String("case", "", "the case")
	dir := flag.String("dir", ".", "the folder of the case")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	root := filepath.Join(*dir, "..", "..")
	if keep := os.Getenv("RIG_ROOT"); keep != "" {
		root = keep
	}
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", p)
			code = 2
		}
	}()
	r := newRig(root, *dir, os.Getenv("TROUBLE") != "0")
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(110 * time.Second):
		}
		fmt.Fprintln(os.Stderr, "the case was stopped, or took too long")
		r.close()
		os.Exit(2)
	}()
	defer func() {
		if n := r.close(); n > 0 && code == 0 {
			fmt.Printf("broken: %d times\n", n)
			code = 1
		}
	}()
	run(r)
	return 0
}
