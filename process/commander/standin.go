package commander

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/imitator"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	defaultRetention = 2 * time.Hour
	defaultListLag   = 500 * time.Millisecond
)

// standInFlags are the flags of the stand-in command.
type standInFlags struct {
	kind      string
	listen    string
	name      string
	retention time.Duration
	listLag   time.Duration
	tokenTime time.Duration
}

func (c *Commander) standIn() *ffcli.Command {
	flags := flag.NewFlagSet("stand-in", flag.ContinueOnError)
	var f standInFlags
	flags.StringVar(&f.kind, "kind", "", "log, prefill, decode or service")
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "the `address` to listen on")
	flags.StringVar(&f.name, "name", "stand-in", "the upstream's `name`")
	flags.DurationVar(&f.retention, "retention", defaultRetention, "how long the log keeps records")
	flags.DurationVar(&f.listLag, "list-lag", defaultListLag, "how late the list of VMs is")
	flags.DurationVar(&f.tokenTime, "token-time", 0, "the time between two tokens")
	return c.command("stand-in", "run a stand-in for tests", flags, func(ctx context.Context, _ []string) error {
		handler, err := f.handler()
		if err != nil {
			return err
		}
		bound, cleanup, err := imitator.Serve(identifier.Address(f.listen), handler)
		if err != nil {
			return err
		}
		defer cleanup()
		_, _ = fmt.Fprintln(c.out, "listening", bound)
		<-ctx.Done()
		return nil
	})
}

func (f standInFlags) handler() (http.Handler, error) {
	name := identifier.UpstreamName(f.name)
	switch f.kind {
	case "log":
		return imitator.NewLog(f.retention, f.listLag).Handler(), nil
	case "service":
		return imitator.NewService(name).Handler(), nil
	case string(parser.RolePrefill), string(parser.RoleDecode):
		options := imitator.DefaultEngineOptions(name, parser.Role(f.kind))
		if f.tokenTime > 0 {
			options.TokenInterval = f.tokenTime
		}
		return imitator.NewEngine(options).Handler(), nil
	}
	return nil, fmt.Errorf("%w: -kind must be log, prefill, decode or service", errUsage)
}
