//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the scripts by name. Each returns held or broken.
var cases = map[string]func(s *site, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(unable)
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	current = newSite(record)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		fail("stopped")
	}()
	result := cases[os.Args[1]](current, trouble)
	current.stop()
	record.printf("result %d", result)
	record.close()
	fmt.Printf("%s: result %d\n", os.Args[1], result)
	os.Exit(result)
}
