package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/logclient"
)

const callTimeout = 30 * time.Second

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// logFlags holds the flags of the commands that use the log service.
type logFlags struct {
	address   *string
	operators *string
}

func addLogFlags(flags *flag.FlagSet) logFlags {
	return logFlags{
		address:   flags.String("log", "", "IP number and port of the log service"),
		operators: flags.String("operators", "", "NAME=PUBLIC-KEY of every operator, separated by commas"),
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
