package main

import (
	"errors"
	"flag"
	"fmt"
	"time"

	"medlarslip/internal/coordination/audit"
	"medlarslip/internal/protocol/signed"
)

func show(args []string) error {
	flags := flag.NewFlagSet("show", flag.ExitOnError)
	logOptions := addLogFlags(flags)
	_ = flags.Parse(args)
	publisher, err := logOptions.publisher()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	current, err := publisher.Load(ctx)
	if err != nil {
		return err
	}
	if current == nil {
		return errors.New("no document is in force; publish the first one")
	}
	printEnvelope(&current.Envelope)
	return nil
}

func printEnvelope(e *signed.Envelope) {
	fmt.Printf("# document %d by %s at %s: %s\n", e.Number, e.Operator, e.SignedAt.Format(time.RFC3339), e.Reason)
	fmt.Print(e.Document)
}

func printAudit(args []string) error {
	flags := flag.NewFlagSet("audit", flag.ExitOnError)
	logOptions := addLogFlags(flags)
	_ = flags.Parse(args)
	publisher, err := logOptions.publisher()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	entries, err := audit.Read(ctx, publisher.Log, publisher.Keys)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		fmt.Println(entry)
	}
	return nil
}
