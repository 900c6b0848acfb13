// Command standin2 plays the cases of the second review: a small deployment on loopback
// with stand-ins of the store, the workers, the operator and the clients, and the
// project's own entries as separate processes. It writes to record.txt what was sent,
// answered and run.
//
// # Usage
//
//	standin2 -root ROOT -record FILE CASE
//
// ROOT is the root of the repository, in which the deploy file's build was done. With
// TROUBLE=0 in the environment the case runs without its disruption. The exit status is 1
// if a rule was broken, 0 if all held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// maxRun bounds the time that a case takes.
const maxRun = 118 * time.Second

// cases holds the cases by name. Each gets whether the disruption is on.
var cases = map[string]func(root string, out *os.File, trouble bool) (*world, error){}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		return cannotRun
	}
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = out.Close() }()
	dir, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	// A case that hangs ends here; its processes end with this one.
	time.AfterFunc(maxRun, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(cannotRun)
	})
	w, err := play(dir, out, os.Getenv("TROUBLE") != "0")
	if w != nil {
		w.close()
	}
	return report(w, out, err)
}

// report writes the result to the record and returns the exit status.
func report(w *world, out *os.File, err error) int {
	if err == nil && w.failed != nil {
		err = w.failed
	}
	if err != nil {
		fmt.Fprintf(out, "cannot run: %v\n", err)
		fmt.Fprintf(os.Stderr, "cannot run: %v\n", err)
		return cannotRun
	}
	if len(w.broken) == 0 {
		fmt.Fprintln(out, "all rules held")
		fmt.Println("all rules held")
		return held
	}
	for _, b := range w.broken {
		fmt.Fprintf(out, "broken: %s\n", b)
		fmt.Printf("broken: %s\n", b)
	}
	return broken
}
