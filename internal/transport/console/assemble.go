package console

import (
	"time"

	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/logclient"
	"medlarslip/internal/transport/platformclient"
)

// FromSettings creates a console from its settings. It reads the key file and
// opens no connection. It returns an error if a public key or the key file
// can't be read, or if the private key does not belong to the operator.
// announce receives each new sign-in link.
func FromSettings(s *settings.Console, announce func(url string)) (*Server, error) {
	keys, err := (settings.Keys{Operators: s.Operators}).PublicKeys()
	if err != nil {
		return nil, err
	}
	key, err := settings.LoadOperatorKey(s.Operator.KeyFile)
	if err != nil {
		return nil, err
	}
	if err := CheckKey(keys, s.Operator.Name, key); err != nil {
		return nil, err
	}
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	return New(Options{
		Log:       logclient.New(s.Platform.Log, pool),
		Instances: platformclient.New(s.Platform.Instances, "", pool),
		Status:    NewStatusClient(pool),
		Keys:      keys,
		Operator:  s.Operator.Name,
		Key:       key,
		Listen:    s.Listen,
		HostNames: s.HostNames,
		Fleet:     s.Fleet,
		Now:       time.Now,
		Announce:  announce,
	}), nil
}
