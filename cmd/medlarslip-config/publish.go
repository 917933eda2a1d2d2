package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/settings"
)

func readDocument(path string) (*document.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return document.Parse(text)
}

func publish(args []string) error {
	flags := flag.NewFlagSet("publish", flag.ExitOnError)
	logOptions := addLogFlags(flags)
	path := flags.String("document", "", "file with the document")
	operator := flags.String("operator", "", "name of the operator who signs")
	keyFile := flags.String("key", "", "file with the operator's private key")
	reason := flags.String("reason", "", "reason for the change")
	_ = flags.Parse(args)
	if *reason == "" || *operator == "" {
		return errors.New("-reason or -operator is empty; give both, since the audit trail records them")
	}
	doc, err := readDocument(*path)
	if err != nil {
		return err
	}
	publisher, err := logOptions.publisher()
	if err != nil {
		return err
	}
	publisher.Operator = *operator
	if publisher.Key, err = settings.LoadOperatorKey(*keyFile); err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	base, err := publisher.Load(ctx)
	if err != nil {
		return err
	}
	accepted, err := publisher.Publish(ctx, base, doc, *reason)
	if err != nil {
		return err
	}
	fmt.Printf("document %d is accepted, hash %s\n", accepted.Envelope.Number, accepted.Hash)
	return nil
}
