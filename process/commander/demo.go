package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/demonstrator"
	"sassafraspass.dev/sassafraspass/process/logger"
)

const (
	defaultDemoAddress = "127.0.0.1:8080"
	demoRequestTimeout = 30 * time.Second
	demoBody           = `{"model": "tiny", "prompt": "Cost sheet for a lavender detergent:", "max_tokens": 12}`
)

func (c *Commander) demoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	listen := flags.String("listen", defaultDemoAddress, "the `address` of the first daemon")
	once := flags.Bool("once", false, "stop after the first completion")
	return c.newCommand("demo", "run a small deployment on this machine", flags, func(ctx context.Context, _ []string) error {
		options := demonstrator.DefaultOptions(logger.New(c.stderr, slog.LevelWarn))
		options.FirstCallerAddress = identifier.Address(*listen)
		deployment, cleanup, err := demonstrator.New(options)
		if err != nil {
			return err
		}
		defer cleanup()
		err = c.runDemoRequest(ctx, deployment)
		if err != nil || *once {
			return err
		}
		<-ctx.Done()
		return nil
	})
}

// runDemoRequest publishes the configuration and requests a completion. It prints
// the completion and a curl command that requests another one.
func (c *Commander) runDemoRequest(ctx context.Context, deployment *demonstrator.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, demoRequestTimeout)
	defer cancel()
	version, err := Publish(ctx, deployment.LogAddress, deployment.Publication())
	if err != nil {
		return err
	}
	first := deployment.Daemons[0].CallerAddress()
	_, _ = fmt.Fprintf(c.stdout, "%d daemons have version %d in force.\n", len(deployment.Daemons), version)
	completion, err := awaitCompletion(ctx, first)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.stdout, "A completion through %s:\n%s\n", first, completion)
	_, _ = fmt.Fprintf(c.stdout, "Try it yourself; Ctrl-C ends the demo.\n\n")
	_, _ = fmt.Fprintf(c.stdout, "curl -N -H 'Authorization: Bearer %s' -d '%s' http://%s/v1/completions\n",
		demonstrator.Key, strings.Replace(demoBody, "}", `, "stream": true}`, 1), first)
	return nil
}

// awaitCompletion requests a completion and retries while the daemon responds with
// status 503, which it does until it is ready.
func awaitCompletion(ctx context.Context, address identifier.Address) (completion string, err error) {
	defer annotator.Annotate(&err, "request a completion")
	for {
		status, body, err := requestCompletion(ctx, address)
		if err != nil {
			return "", err
		}
		if status == http.StatusOK {
			return body, nil
		}
		if status != http.StatusServiceUnavailable {
			return "", fmt.Errorf("status %d: %s", status, body)
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// requestCompletion requests a completion once.
func requestCompletion(ctx context.Context, address identifier.Address) (status int, body string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(address)+"/v1/completions", strings.NewReader(demoBody))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+demonstrator.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}
