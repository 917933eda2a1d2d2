// Command medlarslip-config generates keys, and checks, prints and publishes
// configuration documents.
package main

import (
	"errors"
	"fmt"
	"os"

	"medlarslip/internal/version"
)

const usage = `usage: medlarslip-config COMMAND [FLAGS]

commands:
  keygen -out FILE      make an operator's key pair; prints the public key
  shared-key -out FILE  make the key that all entry instances share
  hash-key              read an API key from standard input; print its hash
  check FILE|-          check a document or a configuration of the platform
  publish               sign a document and publish it
  show                  print the document in force
  audit                 print every change that the log keeps, in order
  version               print the version
`

// command is the function of one subcommand; args are its flags.
type command func(args []string) error

// exitStatus is the error of a command that has printed its messages.
type exitStatus int

func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

func main() {
	commands := map[string]command{
		"keygen":     keygen,
		"shared-key": sharedKey,
		"hash-key":   hashKey,
		"check":      check,
		"publish":    publish,
		"show":       show,
		"audit":      printAudit,
		"version":    printVersion,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	err := commands[os.Args[1]](os.Args[2:])
	if err == nil {
		return
	}
	var status exitStatus
	if errors.As(err, &status) {
		os.Exit(int(status))
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

func printVersion([]string) error {
	fmt.Println(version.String())
	return nil
}
