// Command standin-backend is a stand-in for a backend server, either a model
// engine or a plain service.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/process"
	"medlarslip/internal/standin/serviceserver"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9001", "IP number and port")
	role := flag.String("role", "engine", "engine or service")
	versions := flag.String("versions", "", "version IDs of an engine, separated by commas")
	tokens := flag.Int("tokens", 40, "tokens of one answer")
	tokenTime := flag.Duration("token-time", 5*time.Millisecond, "time between two tokens")
	running := flag.Int("running", 32, "concurrent requests that the metrics report as running")
	coldLimit := flag.Int("cold-limit", 0, "concurrent requests that a cold engine can handle; 0 for any number")
	coldAnswers := flag.Int("cold-answers", 20, "successful answers after which an engine is warm")
	flag.Parse()
	config := engineserver.Config{
		Versions:   strings.Split(*versions, ","),
		Tokens:     *tokens,
		TokenTime:  *tokenTime,
		MaxRunning: *running,
		Resumable:  true,

		ColdLimit:   *coldLimit,
		ColdAnswers: *coldAnswers,
	}
	if err := run(*listen, *role, config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(listen, role string, config engineserver.Config) error {
	handler := engineserver.New(config).Handle
	switch role {
	case "engine":
	case "service":
		handler = serviceserver.New().Handle
	default:
		return fmt.Errorf("unknown -role %q; use engine or service", role)
	}
	return process.Run(listen, &fasthttp.Server{Handler: handler})
}
