package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tamarackshunt.dev/operator/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, command.Program{Out: os.Stdout, Err: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(code)
}
