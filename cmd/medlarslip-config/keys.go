package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"medlarslip/internal/protocol/settings"
)

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
