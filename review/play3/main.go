//go:build review

// Command play3 plays the scripted cases of the third review. It exits with 0 if the rule of the
// case held, with 1 if it was broken, and with 2 if the case could not run. With the variable
// TROUBLE set to 0, it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"radishspoke/review/player"
)

// program is the program that the build of the deploy file makes.
const program = "target/radishspoked"

// maxTime bounds the time of a case, less than the 120 s that a script may take.
const maxTime = 100 * time.Second

// Exit codes.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

// play plays a case, and returns whether the rule held. The argument trouble is whether the
// disruption happens.
type play func(d *player.Deployment, trouble bool) (bool, error)

// plays are the cases, by name.
var plays = map[string]play{
	"leaving": leaving,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play3 CASE FOLDER")
		os.Exit(invalid)
	}
	ok, err := run(plays[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(invalid)
	case !ok:
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
	fmt.Println("the rule held")
	os.Exit(held)
}

// run plays a case and writes its record into a folder.
func run(p play, folder string) (ok bool, err error) {
	r, err := player.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() {
		if e := r.Close(); err == nil {
			err = e
		}
	}()
	d, err := player.NewDeployment(r, program)
	if err != nil {
		return false, err
	}
	defer func() {
		if e := d.Close(); err == nil {
			err = e
		}
	}()
	go endEarly(d)
	return p(d, os.Getenv("TROUBLE") != "0")
}

// endEarly ends the processes of a deployment and this one on a signal, or after maxTime.
func endEarly(d *player.Deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	fmt.Fprintln(os.Stderr, "the case could not run: ended early:", d.Close())
	os.Exit(invalid)
}
