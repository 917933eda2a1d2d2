// Command medlarslip-config generates keys, and checks, prints and publishes
// configuration documents.
package main

import (
	"fmt"
	"os"

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
  audit                 print every change that the log keeps, in order
  version               print the version
`

// command is the function of one subcommand; args are its flags.
type command func(args []string) error

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
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func printVersion([]string) error {
	fmt.Println(version.String())
	return nil
}
