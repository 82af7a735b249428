package commander

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/server"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/publisher"
)

const (
	defaultPublishTimeout = 30 * time.Second
	statusTimeout         = 3 * time.Second
	maxStatusBytes        = 16 << 20
	// keyPrefix begins each key that the publish command makes.
	keyPrefix = "sp-"
)

// publishFlags holds the flags of the publish command.
type publishFlags struct {
	log      string
	newKey   string
	withdraw string
	timeout  time.Duration
}

func (c *Commander) publishCommand() *ffcli.Command {
	flags := flag.NewFlagSet("publish", flag.ContinueOnError)
	var f publishFlags
	flags.StringVar(&f.log, "log", "", "the `address` of the platform's log service")
	flags.StringVar(&f.newKey, "new-key", "", "make a key for a `workspace` and print it once")
	flags.StringVar(&f.withdraw, "withdraw", "", "withdraw the key of a `digest`")
	flags.DurationVar(&f.timeout, "timeout", defaultPublishTimeout, "how long to wait until the change is in force")
	return c.newCommand("publish", "change the configuration", flags, func(ctx context.Context, args []string) error {
		if f.log == "" {
			return fmt.Errorf("%w: -log is missing", errUsage)
		}
		pub, key, err := f.buildPublication(args)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, f.timeout)
		defer cancel()
		version, err := Publish(ctx, identifier.Address(f.log), pub)
		if key != "" && version >= 0 {
			_, _ = fmt.Fprintln(c.stdout, "key", key)
			_, _ = fmt.Fprintln(c.stdout, "digest", identifier.NewKeyDigest(key))
		}
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(c.stdout, "version", version, "is in force")
		return nil
	})
}

// buildPublication makes a publication from the flags, or reads it from the file
// that the arguments name. The key is empty unless the flags ask for a new one.
func (f publishFlags) buildPublication(args []string) (pub *parser.Publication, key string, err error) {
	switch {
	case f.newKey != "":
		key = keyPrefix + rand.Text()
		digest := identifier.NewKeyDigest(key)
		workspace := identifier.WorkspaceName(f.newKey)
		return &parser.Publication{Keys: []parser.Key{{Digest: digest, Workspace: workspace}}}, key, nil
	case f.withdraw != "":
		return &parser.Publication{Withdrawals: []identifier.KeyDigest{identifier.KeyDigest(f.withdraw)}}, "", nil
	case len(args) != 1:
		return nil, "", fmt.Errorf("%w: name one file to publish", errUsage)
	}
	pub, err = readPublication(args[0])
	return pub, "", err
}

// Publish appends a publication to the log at an address and waits until the
// version that it creates is in force at all daemons. The version is
// identifier.NoOffset (-1) if the publication is not known to be accepted. An
// error with any other version means that the publication was accepted, but is
// not known to be in force at all daemons.
func Publish(ctx context.Context, logAddress identifier.Address, pub *parser.Publication) (version identifier.Offset, err error) {
	client, cleanup := appender.NewClient(logAddress)
	defer cleanup()
	p := &publisher.Publisher{
		Read:         client.Read,
		Append:       client.Append,
		ListVMs:      client.ListVMs,
		FetchVersion: fetchVersion,
		Clock:        clockwork.NewRealClock(),
	}
	version, err = p.Publish(ctx, pub)
	if err != nil {
		return identifier.NoOffset, err
	}
	return version, p.AwaitInForce(ctx, version)
}

// fetchVersion returns the version that is in force at a daemon.
func fetchVersion(ctx context.Context, operatorAddress identifier.Address) (version identifier.Offset, err error) {
	raw, err := fetchStatus(ctx, operatorAddress)
	if err != nil {
		return 0, err
	}
	var status server.Status
	err = json.Unmarshal(raw, &status)
	return status.Version, err
}

// fetchStatus returns the status of a daemon as JSON.
func fetchStatus(ctx context.Context, operatorAddress identifier.Address) (raw []byte, err error) {
	defer annotator.Annotate(&err, "ask the daemon at %s", operatorAddress)
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(operatorAddress)+server.PathStatus, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
}

func (c *Commander) statusCommand() *ffcli.Command {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	operators := flags.String("operators", "", "the `address` of a daemon's operators' listener")
	return c.newCommand("status", "print the status of a daemon", flags, func(ctx context.Context, _ []string) error {
		if *operators == "" {
			return fmt.Errorf("%w: -operators is missing", errUsage)
		}
		raw, err := fetchStatus(ctx, identifier.Address(*operators))
		if err != nil {
			return err
		}
		_, err = c.stdout.Write(raw)
		return err
	})
}
