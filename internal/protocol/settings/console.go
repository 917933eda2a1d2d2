package settings

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/strictyaml"
)

// Console holds the settings of the operators' console.
type Console struct {
	// Listen is the IP address and port of the web pages.
	Listen string `yaml:"listen"`
	// AllowRemote permits an address that other machines can reach. The console
	// itself serves plain HTTP, so it needs a TLS proxy in front of it.
	AllowRemote bool `yaml:"allow_remote" optional:"true"`
	// HostNames lists further accepted values of the Host header, each with its
	// port unless that is the default port.
	HostNames []string        `yaml:"host_names" optional:"true"`
	Platform  ConsolePlatform `yaml:"platform"`
	Operator  ConsoleOperator `yaml:"operator"`
	// Operators lists the operators that may sign configuration documents.
	Operators []OperatorKey `yaml:"operators"`
	Fleet     ConsoleFleet  `yaml:"fleet"`
}

// ConsolePlatform holds the addresses of the platform's services.
type ConsolePlatform struct {
	Log       string `yaml:"log"`
	Instances string `yaml:"instances"`
}

// ConsoleOperator is the person who uses this console.
type ConsoleOperator struct {
	// Name is one of the names in operators.
	Name string `yaml:"name"`
	// KeyFile is the path of the private key. Only its owner may have access to
	// the file.
	KeyFile string `yaml:"key_file"`
}

// ConsoleFleet says where the entry instances serve their metrics.
type ConsoleFleet struct {
	// MetricsPort is the metrics port at the IP address of an entry instance in
	// the instance list.
	MetricsPort int `yaml:"metrics_port"`
	// MetricsAddresses lists the instances with other metrics addresses.
	MetricsAddresses []MetricsAddress `yaml:"metrics_addresses" optional:"true"`
}

// MetricsAddress is the metrics address of one entry instance.
type MetricsAddress struct {
	Instance string `yaml:"instance"`
	Address  string `yaml:"address"`
}

const maxPort = 65535

// LoadConsole reads and validates the settings of the console. The error is of the
// kind ErrUnreadable or a strictyaml.FieldErrors.
func LoadConsole(path string) (*Console, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(ErrUnreadable, err.Error())
	}
	return ParseConsole(text)
}

// ParseConsole decodes and validates the settings of the console. The error is a
// strictyaml.FieldErrors.
func ParseConsole(text []byte) (*Console, error) {
	var s Console
	if err := strictyaml.Decode(text, &s); err != nil {
		return nil, err
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Validate returns nil or a strictyaml.FieldErrors that lists all errors.
func (s *Console) Validate() error {
	c := &checker{}
	c.address("listen", s.Listen)
	s.checkLoopback(c)
	for i, name := range s.HostNames {
		c.nonEmpty(fmt.Sprintf("host_names[%d]", i), name)
	}
	c.address("platform.log", s.Platform.Log)
	c.address("platform.instances", s.Platform.Instances)
	c.nonEmpty("operator.key_file", s.Operator.KeyFile)
	c.operators("operators", s.Operators)
	s.checkOperator(c)
	c.inRange("fleet.metrics_port", s.Fleet.MetricsPort, 1, maxPort)
	for i, metrics := range s.Fleet.MetricsAddresses {
		field := fmt.Sprintf("fleet.metrics_addresses[%d]", i)
		c.nonEmpty(field+".instance", metrics.Instance)
		c.address(field+".address", metrics.Address)
	}
	return c.result()
}

func (s *Console) checkLoopback(c *checker) {
	address, err := netip.ParseAddrPort(s.Listen)
	if err != nil || address.Addr().IsLoopback() || s.AllowRemote {
		return
	}
	c.fail("listen", fmt.Sprintf("%q can be reached from other machines", s.Listen), "use 127.0.0.1, or set allow_remote: true and put a TLS proxy before it")
}

func (s *Console) checkOperator(c *checker) {
	for _, operator := range s.Operators {
		if operator.Name == s.Operator.Name && operator.Name != "" {
			return
		}
	}
	c.fail("operator.name", fmt.Sprintf("%q is not listed in operators", s.Operator.Name), "use a listed name, or add the name with its public key")
}
