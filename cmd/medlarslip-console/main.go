// Command medlarslip-console serves the operators' console on this machine: web
// pages to view, edit, sign and publish the configuration document.
package main

import (
	"context"
	"fmt"
	"net"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/daemon"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/transport/console"
)

func main() { daemon.Main(load) }

// program serves the console at the address of its settings.
type program struct {
	settings *settings.Console
	server   *console.Server
}

func load(path string) (daemon.Program, error) {
	s, err := settings.LoadConsole(path)
	if err != nil {
		return nil, err
	}
	server, err := console.FromSettings(s, announce)
	if err != nil {
		return nil, err
	}
	return &program{settings: s, server: server}, nil
}

// Run implements daemon.Program.
func (p *program) Run(stop context.Context) error {
	listener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return merry.Prepend(err, "listen for browsers; check the setting listen")
	}
	logrus.WithFields(logrus.Fields{"listen": p.settings.Listen, "operator": p.settings.Operator.Name}).Info("starting")
	return p.server.Run(stop, listener)
}

// announce prints a single-use sign-in link for the operator who started the
// console.
func announce(url string) {
	fmt.Printf("sign in, once, at %s\n", url)
}
