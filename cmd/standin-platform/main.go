// Command standin-platform is an in-memory stand-in for the platform: log
// service, instance list, rating service and weight store in one process.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"strings"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/standin/platformserver"
	"medlarslip/internal/standin/process"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:8001", "IP number and port")
	instances := flag.String("instances", "", "file with the instance list in JSON")
	keep := flag.Int("keep", 100000, "number of records that each stream retains")
	flag.Parse()
	if err := run(*listen, *instances, *keep); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(listen, instances string, keep int) error {
	server := platformserver.New(logservice.New(keep), score)
	if instances != "" {
		list, err := readInstances(instances)
		if err != nil {
			return err
		}
		server.SetInstances(*list)
	}
	return process.Run(listen, &fasthttp.Server{Handler: server.Handle, MaxRequestBodySize: 64 << 20})
}

func readInstances(path string) (*platform.InstanceList, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var list platform.InstanceList
	return &list, json.Unmarshal(text, &list)
}

// score returns a high score for versions named large-*. For other versions it is
// low for about one prompt in three, chosen by a hash of the prompt.
func score(request *platform.RatingRequest) float64 {
	const high, low, oneIn = 0.95, 0.5, 3
	if strings.HasPrefix(request.VersionID, "large-") {
		return high
	}
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(request.Prompt))
	if digest.Sum32()%oneIn == 0 {
		return low
	}
	return high
}
