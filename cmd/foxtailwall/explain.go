package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"foxtailwall/explainer"
)

const usageExplain = `Explain follows one request through the logs of all hosts: each attempt with
its upstream, kind of failure and outcome, the end of the request, and what the
hosts that touched it logged about their own state around that time. Lines that
begin with > are about the request itself.

    foxtailwall explain --request 9c41d07be2a35f68 entry-*.log
    cat *.log | foxtailwall explain --request 9c41d07be2a35f68`

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "follow one request through logs", Description: usageExplain, ArgsUsage: "[LOG...]",
		Flags: []cli.Flag{&cli.StringFlag{Name: "request", Usage: "ID of the request", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			return explain(c.Root().Writer, c.String("request"), c.Args().Slice())
		},
	}
}

// explain prints the story of the request from the files, or from standard
// input if there are none.
func explain(w io.Writer, id string, paths []string) error {
	logs := []io.Reader{os.Stdin}
	if len(paths) > 0 {
		logs = nil
	}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	story, err := explainer.Read(id, logs...)
	if err != nil {
		return err
	}
	for _, l := range story {
		fmt.Fprintln(w, l)
	}
	return nil
}
