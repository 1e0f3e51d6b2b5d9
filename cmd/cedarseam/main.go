// Command cedarseam is one ingress: it takes requests of clients over RESP,
// decides with package choice and passes them on to backends. It is configured
// by the file that NODE_CONFIG names.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cedarseam/internal/eventlog"
	"cedarseam/internal/ingress"
	"cedarseam/internal/shutdown"
)

const (
	// logVariable names the environment's word on the log: with "detailed" it
	// tells of every request, attempt and connection from the start on.
	logVariable = "CEDARSEAM_LOG"
	logFlush    = 100 * time.Millisecond // for the last lines to be written at the end
)

func main() {
	lines := eventlog.NewWriter(os.Stderr)
	log := eventlog.New(lines, os.Getenv(logVariable) == "detailed")
	slog.SetDefault(log.Logger())
	err := run(log)
	lines.Flush(logFlush)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cedarseam:", err)
		os.Exit(1)
	}
}

func run(log *eventlog.Log) error {
	// Taken from the first moment on: by default these signals end the process.
	ctx := untilTerminated()
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads must not end the process either
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := ingress.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return nil // no client was let in
	}
	cfg.Limits.Apply()
	cfg.Log = log
	srv, err := ingress.Listen(cfg)
	if err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "address", srv.Addr().String())
	go func() {
		for range reload {
			if next, err := ingress.ReloadConfig(os.Getenv); err != nil {
				slog.Error("the configuration stays as it was", "error", err)
			} else {
				slog.Info("configuration read again", "discovery", next.Discovery)
				srv.Reload(next)
			}
		}
	}()
	return srv.Serve(ctx)
}

// untilTerminated returns a context that ends with SIGTERM or SIGINT. Its cause
// tells when the signal came: the time until the kill counts from then.
func untilTerminated() context.Context {
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		<-terminate
		cancel(shutdown.RequestedError{At: time.Now()})
	}()
	return ctx
}
