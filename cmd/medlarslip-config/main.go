// Command medlarslip-config makes keys, and checks, shows and publishes
// configuration documents.
package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/logclient"
	"medlarslip/internal/version"
)

const usage = `usage: medlarslip-config COMMAND [FLAGS]

commands:
  keygen -out FILE      make an operator's key pair; prints the public key
  shared-key -out FILE  make the key that all entry instances share
  hash-key              read an API key from standard input; print its hash
  check -document FILE  check a document
  publish               sign a document and publish it
  show                  print the document in force
  version               print the version
`

// command is one sub-command.
type command func(args []string) error

func main() {
	commands := map[string]command{
		"keygen":     keygen,
		"shared-key": sharedKey,
		"hash-key":   hashKey,
		"check":      check,
		"publish":    publish,
		"show":       show,
		"version":    printVersion,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func printVersion([]string) error {
	fmt.Println(version.String())
	return nil
}

func keygen(args []string) error {
	flags := flag.NewFlagSet("keygen", flag.ExitOnError)
	out := flags.String("out", "operator.key", "file for the private key")
	_ = flags.Parse(args)
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	if err := settings.WriteSecret(*out, private.Seed()); err != nil {
		return err
	}
	fmt.Println(base64.StdEncoding.EncodeToString(public))
	return nil
}

func sharedKey(args []string) error {
	flags := flag.NewFlagSet("shared-key", flag.ExitOnError)
	out := flags.String("out", "shared.key", "file for the key")
	_ = flags.Parse(args)
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return err
	}
	return settings.WriteSecret(*out, secret)
}

func hashKey([]string) error {
	text, err := io.ReadAll(os.Stdin)
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(string(text))))
	fmt.Println(hex.EncodeToString(sum[:]))
	return nil
}

func check(args []string) error {
	flags := flag.NewFlagSet("check", flag.ExitOnError)
	path := flags.String("document", "", "file of the document")
	_ = flags.Parse(args)
	if _, err := readDocument(*path); err != nil {
		return err
	}
	fmt.Println("document is valid")
	return nil
}

func readDocument(path string) (*document.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return document.Parse(text)
}

// logFlags are the flags of commands that use the log service.
type logFlags struct {
	address   *string
	operators *string
}

func addLogFlags(flags *flag.FlagSet) logFlags {
	return logFlags{
		address:   flags.String("log", "", "IP number and port of the log service"),
		operators: flags.String("operators", "", "NAME=PUBLIC-KEY of each operator, separated by commas"),
	}
}

func (f logFlags) publisher() (*configuration.Publisher, error) {
	keys := settings.Keys{}
	for _, pair := range strings.Split(*f.operators, ",") {
		name, key, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("-operators: %q has no =; write NAME=PUBLIC-KEY", pair)
		}
		keys.Operators = append(keys.Operators, settings.OperatorKey{Name: name, PublicKey: key})
	}
	public, err := keys.PublicKeys()
	if err != nil {
		return nil, err
	}
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	return &configuration.Publisher{Log: logclient.New(*f.address, pool), Keys: public, Now: time.Now}, nil
}

const callTimeout = 30 * time.Second

func publish(args []string) error {
	flags := flag.NewFlagSet("publish", flag.ExitOnError)
	logOptions := addLogFlags(flags)
	path := flags.String("document", "", "file of the document")
	operator := flags.String("operator", "", "name of the operator who signs")
	keyFile := flags.String("key", "", "file of the operator's private key")
	reason := flags.String("reason", "", "why the change is made")
	_ = flags.Parse(args)
	if *reason == "" || *operator == "" {
		return errors.New("-reason and -operator are empty; give both, since they stand in the audit trail")
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
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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

func show(args []string) error {
	flags := flag.NewFlagSet("show", flag.ExitOnError)
	logOptions := addLogFlags(flags)
	_ = flags.Parse(args)
	publisher, err := logOptions.publisher()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
