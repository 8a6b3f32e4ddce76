package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"foxtailwall/explainer"
)

const usageExplain = `Explain prints the log lines of all hosts about one request: each attempt with
its upstream, kind of failure and outcome, and the end of the request. It adds
the lines that the hosts involved logged about their own state around that time;
lines about the request itself begin with >.

    foxtailwall explain --request 9c41d07be2a35f68 entry-*.log
    cat *.log | foxtailwall explain --request 9c41d07be2a35f68`

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the log lines about one request", Description: usageExplain, ArgsUsage: "[LOG...]",
		Flags: []cli.Flag{&cli.StringFlag{Name: "request", Usage: "ID of the request", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			return explain(c.Root().Writer, c.String("request"), c.Args().Slice())
		},
	}
}

// explain prints the log lines that concern the request id. It reads the logs
// at paths, or standard input if there are none.
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
	lines, err := explainer.Read(id, logs...)
	if err != nil {
		return err
	}
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
	return nil
}
