// Command standins plays the cases of the review: it starts ingresses of the project as
// processes and stands in for clients, backends and discovery.
//
//	standins CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	cases := map[string]func(rec *record, dir string, trouble bool) (broken []string, err error){
		"spoilt":  playSpoilt,
		"at-once": playAtOnce,
		"leave":   playLeave,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(110*time.Second, func() {
		rec.line("the case took too long")
		os.RemoveAll(dir)
		os.Exit(2) // the ingresses end with this process
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, dir, trouble)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	}
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	for _, b := range broken {
		rec.line("BROKEN: %s", b)
	}
	rec.line("%d breaks of the rule", len(broken))
	fmt.Printf("%d breaks of the rule\n", len(broken))
	if len(broken) > 0 {
		fmt.Println("first:", broken[0])
		os.Exit(1)
	}
}
