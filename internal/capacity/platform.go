// Package capacity measures what the coordination of a fleet costs: it runs
// many nodes in one process over loopback and reports traffic, CPU, memory and
// convergence by fleet size, beside a plain design in the same run.
package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/platform"
)

// countingListener counts the bytes of all connections of a listener.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &countingConn{Conn: conn, counter: c}, err
}

type countingConn struct {
	net.Conn
	counter *countingListener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// standins are the backend servers and the instance list of a run. Each kind
// shares one listener, so that its traffic is counted apart.
type standins struct {
	engines  *countingListener
	list     *countingListener
	requests atomic.Int64
	servers  []*fasthttp.Server
	listBody []byte
	metrics  [][]byte
}

func newStandins() (*standins, error) {
	s := &standins{metrics: metricsBodies()}
	var err error
	if s.engines, err = s.serve(s.answerEngine); err != nil {
		return nil, err
	}
	s.list, err = s.serve(s.answerList)
	return s, err
}

func (s *standins) serve(handler fasthttp.RequestHandler) (*countingListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	counted := &countingListener{Listener: listener}
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(counted) }()
	return counted, nil
}

// answerEngine answers for all engines. Their load differs at every read, so
// that every read is worth spreading.
func (s *standins) answerEngine(ctx *fasthttp.RequestCtx) {
	s.requests.Add(1)
	ctx.Response.Header.Set(fasthttp.HeaderContentEncoding, "gzip")
	ctx.SetBody(s.metrics[rand.IntN(len(s.metrics))])
}

const (
	// metricsLoads is how many loads the engines alternate between.
	metricsLoads = 32
	// metricsLines is the number of further lines that an engine publishes.
	metricsLines = 400
)

// metricsBodies returns compressed metrics, one for each load.
func metricsBodies() [][]byte {
	bodies := make([][]byte, metricsLoads)
	for load := range bodies {
		var text strings.Builder
		fmt.Fprintf(&text, "vllm:num_requests_running %d\nvllm:num_requests_waiting %d\n", load, load/4)
		fmt.Fprintf(&text, "vllm:kv_cache_usage_perc 0.5\nprocess_start_time_seconds 1780000000\n")
		for line := range metricsLines {
			fmt.Fprintf(&text, "vllm:step_seconds_bucket{le=\"%d\"} %d\n", line, rand.IntN(1<<20))
		}
		bodies[load] = fasthttp.AppendGzipBytes(nil, []byte(text.String()))
	}
	return bodies
}

func (s *standins) answerList(ctx *fasthttp.RequestCtx) { ctx.SetBody(s.listBody) }

// setList makes the instance list of so many entry instances and servers.
func (s *standins) setList(entries []platform.Instance, servers int) error {
	rows := append([]platform.Instance(nil), entries...)
	for i := range servers {
		rows = append(rows, platform.Instance{
			ID: fmt.Sprintf("engine-%03d", i), Address: s.engines.Addr().String(), Role: platform.RoleEngine,
			Serves: []string{fmt.Sprintf("model-%d", i%versions)}, FailureDomain: domain(i),
			State: platform.InstanceLive, Incarnation: "1",
		})
	}
	var err error
	s.listBody, err = json.Marshal(platform.InstanceList{Instances: rows})
	return err
}

const (
	versions = 6
	domains  = 5
)

func domain(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

func (s *standins) close() {
	for _, server := range s.servers {
		_ = server.Shutdown()
	}
}
