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
	// logModeVariable names the environment's word on the log: with "detailed" it
	// tells of every request, attempt and connection from the start on.
	logModeVariable = "CEDARSEAM_LOG"
	logFlushTimeout = 100 * time.Millisecond // for the last lines to be written at the end
)

func main() {
	logWriter := eventlog.NewWriter(os.Stderr)
	log := eventlog.New(logWriter, os.Getenv(logModeVariable) == "detailed")
	slog.SetDefault(log.Logger())
	err := run(log)
	logWriter.Flush(logFlushTimeout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cedarseam:", err)
		os.Exit(1)
	}
}

func run(log *eventlog.Log) error {
	// Taken from the first moment on: by default these signals end the process.
	ctx := terminationContext()
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads must not end the process either
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	cfg, err := ingress.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return nil // no client was let in
	}
	cfg.Limits.Apply()
	cfg.Log = log
	server, err := ingress.Listen(cfg)
	if err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "address", server.Addr().String())
	go func() {
		for range reloadSignals {
			if reloaded, err := ingress.ReloadConfig(os.Getenv); err != nil {
				slog.Error("the configuration stays as it was", "error", err)
			} else {
				slog.Info("configuration read again", "discovery", reloaded.Discovery)
				server.Reload(reloaded)
			}
		}
	}()
	return server.Serve(ctx)
}

// terminationContext returns a context that ends with SIGTERM or SIGINT. Its cause
// tells when the signal came: the time until the kill counts from then.
func terminationContext() context.Context {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		<-signals
		cancel(shutdown.RequestedError{At: time.Now()})
	}()
	return ctx
}
