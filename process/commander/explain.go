package commander

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sassafraspass.dev/sassafraspass/process/explainer"
)

func (c *Commander) explainCommand() *ffcli.Command {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	return c.newCommand("explain", "find out from logs how a request ended", flags, func(_ context.Context, args []string) error {
		if len(args) < 2 {
			return fmt.Errorf("%w: name the id of a request and log files", errUsage)
		}
		e := explainer.New(args[0])
		for _, path := range args[1:] {
			err := readLogFile(e, path)
			if err != nil {
				return err
			}
		}
		explanation, ok := e.Explain()
		if !ok {
			return fmt.Errorf("no line names the request %s", args[0])
		}
		_, _ = fmt.Fprintln(c.stdout, "State changes of its daemons:")
		c.printLines(explanation.StateChanges)
		_, _ = fmt.Fprintln(c.stdout, "The request:")
		c.printLines(explanation.Lines)
		_, _ = fmt.Fprintln(c.stdout, "Outcome:", explanation.Outcome)
		return nil
	})
}

// printLines prints each line with an indent.
func (c *Commander) printLines(lines []string) {
	for _, line := range lines {
		_, _ = fmt.Fprintln(c.stdout, "  "+line)
	}
}

func readLogFile(e *explainer.Explainer, path string) (err error) {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	defer func() { _ = f.Close() }()
	err = e.Read(filepath.Base(path), f)
	if err != nil {
		return fmt.Errorf("read log %s: %w", path, err)
	}
	return nil
}
