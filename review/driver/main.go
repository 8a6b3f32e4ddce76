//go:build review

// Command driver plays the surroundings of a small deployment for the cases of
// an independent review: the platform's list, replicas, clients and the
// operator. The hosts themselves are started by common.sh.
//
// # Usage
//
//	driver settings CASE DIR        write settings files, and the files "hosts" and "replicas"
//	driver replica DIR ID           serve one replica until the process ends
//	driver play CASE DIR RECORD     send requests, cause the disruption, judge what was seen
//
// Play exits with 0 if the rule held, 1 if it was broken, 2 if the case could not
// be played. The disruption is left out if TROUBLE is 0.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"foxtailwall/timekeeper"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var clock timekeeper.Clock = timekeeper.System{}

// scenario is one case of the review.
type scenario struct {
	entries  int
	replicas []replica
	config   map[string]any
	// play returns the ways in which the rule was broken.
	play func(ctx context.Context, p *player) ([]string, error)
}

var scenarios = map[string]scenario{}

func main() {
	code, err := runCommand(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
		code = exitFailed
	}
	os.Exit(code)
}

func runCommand(args []string) (int, error) {
	ctx := context.Background()
	switch {
	case len(args) == 3 && args[0] == "settings":
		s, ok := scenarios[args[1]]
		if !ok {
			return exitFailed, fmt.Errorf("case %q is unknown", args[1])
		}
		return exitHeld, writeFleet(args[2], s)
	case len(args) == 3 && args[0] == "replica":
		return exitHeld, serveReplica(args[1], args[2])
	case len(args) == 4 && args[0] == "play":
		s, ok := scenarios[args[1]]
		if !ok {
			return exitFailed, fmt.Errorf("case %q is unknown", args[1])
		}
		return play(ctx, s, args[2], args[3])
	}
	return exitFailed, fmt.Errorf("unknown arguments: %s", strings.Join(args, " "))
}
