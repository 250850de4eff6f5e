// Package control provides the commands that set the fault of a simulated backend server and wait until a process serves
// requests.
package control

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// pollInterval is the time between two requests of the await command.
const pollInterval = 50 * time.Millisecond

// AwaitCommand returns the command "await", which waits until a URL responds with status 200.
func AwaitCommand() *cli.Command {
	return &cli.Command{
		Name: "await", Usage: "wait until a URL responds with status 200",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Required: true},
			&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			return await(ctx, cmd.String("url"))
		},
	}
}

// await returns the error of the last request if ctx ends first.
func await(ctx context.Context, url string) error {
	for {
		err := call(ctx, http.MethodGet, url, "")
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// FaultCommand returns the command "fault", which sets the fault of a simulated backend server.
func FaultCommand() *cli.Command {
	return &cli.Command{
		Name: "fault", Usage: "set the fault of a simulated backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Required: true},
			&cli.StringFlag{Name: "json", Usage: `fault as JSON, such as {"error_percent":100}`, Value: "{}"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return call(ctx, http.MethodPut, "http://"+cmd.String("address")+"/control/fault", cmd.String("json"))
		},
	}
}

// call sends a request and returns an error unless the response has status 200.
func call(ctx context.Context, method, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s responded with status %d", url, resp.StatusCode)
	}
	return nil
}
