//go:build review

package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gypsumvale/internal/standin/hosted"
)

// answerPieces and pieceInterval are how a replica writes its answer: it reads the report from its disk as it goes.
const (
	answerPieces  = 16
	pieceInterval = 40 * time.Millisecond
	minPiece      = 4096
)

// answerBody returns the whole body of a replica's answer to a request: lines that name both.
func answerBody(replica, id string, size int) string {
	line := fmt.Sprintf("%s answers %s\n", replica, id)
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// runReplica serves a replica of a plain service until it is killed.
func runReplica(args []string) (bool, error) {
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	listen := flags.String("listen", "", "address")
	id := flags.String("id", "", "instance")
	service := flags.String("service", "", "service")
	zone := flags.String("zone", "", "zone")
	store := flags.String("store", "", "address of the store")
	size := flags.Int("size", 0, "bytes of an answer")
	if err := flags.Parse(args); err != nil {
		return false, err
	}
	born := time.Now().UnixMilli()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance-Id", *id)
		if want := r.Header.Get("Expect-Instance"); want != "" && want != *id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/health" {
			return
		}
		request := r.Header.Get("Request-Id")
		fmt.Printf("%d %s runs %s\n", time.Now().UnixMilli(), *id, request)
		fmt.Printf("%d %s tenant %q of %s\n", time.Now().UnixMilli(), *id, r.Header.Get("Tenant-Id"), request)
		body := answerBody(*id, request, *size)
		w.Header().Set("Request-Id", request)
		w.Header().Set("Response-Seal", *id+"."+request)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		piece := max(len(body)/answerPieces+1, minPiece)
		for len(body) > 0 {
			n := min(piece, len(body))
			if _, err := w.Write([]byte(body[:n])); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			body = body[n:]
			if len(body) > 0 {
				time.Sleep(pieceInterval)
			}
		}
	})
	failed := make(chan error, 1)
	go func() { failed <- http.ListenAndServe(*listen, handler) }()
	registrar := hosted.NewStoreClient(*store)
	go registrar.Run(context.Background())
	err := registrar.Put("servers/"+*id, map[string]any{
		"Backend": *service, "Address": *listen, "Zone": *zone, "Version": "v1", "Capacity": 16, "State": "ready", "ColdLeftMs": 0,
		"Sequence": 1, "born": born,
	})
	if err != nil {
		return false, err
	}
	return false, <-failed
}
