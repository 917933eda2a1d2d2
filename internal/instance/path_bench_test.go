package instance_test

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/daemon"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/localfleet"
	"medlarslip/internal/standin/loopback"
)

const (
	benchWorkers = 32
	benchEngines = 4
)

// roundRobinProxy is the reference of the benchmarks: it forwards requests to the
// servers in turn and does nothing else.
type roundRobinProxy struct {
	clients []*fasthttp.HostClient
	next    atomic.Uint64
}

func newRoundRobinProxy(addresses []string) *roundRobinProxy {
	f := &roundRobinProxy{}
	for _, address := range addresses {
		f.clients = append(f.clients, &fasthttp.HostClient{Addr: address, MaxConns: 1000, StreamResponseBody: true})
	}
	return f
}

func (f *roundRobinProxy) handle(ctx *fasthttp.RequestCtx) {
	client := f.clients[f.next.Add(1)%uint64(len(f.clients))]
	if err := client.Do(&ctx.Request, &ctx.Response); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
	}
}

// benchPaths starts engines and returns the address of each of the three paths to
// them: direct, through the proxy, and through an entry instance.
func benchPaths(b *testing.B) map[string]string {
	b.Helper()
	daemon.TuneGC()
	f := localfleet.NewWithEngine(b, nil)
	var addresses []string
	for range benchEngines {
		engine := engineserver.New(engineserver.Config{Tokens: localfleet.AnswerTokens, MaxRunning: 1000})
		engine.DropCalls()
		addresses = append(addresses, loopback.Serve(b, engine.Handle))
	}
	for i, address := range addresses {
		f.AddBackend("bench-"+string(rune('a'+i)), platform.RoleEngine, address, "small-1", "large-1")
	}
	entry := f.Start("entry-1")
	f.Start("entry-2") // in another failure domain, to hold copies of bills
	b.Cleanup(f.StopAll)
	return map[string]string{
		"direct":    addresses[0],
		"forwarder": loopback.Serve(b, newRoundRobinProxy(addresses).handle),
		"router":    entry.Callers,
	}
}

const benchBody = `{"model":"large-1","messages":[{"role":"user","content":"hello"}]}`

// benchCaller sends requests over one connection.
type benchCaller struct {
	client *fasthttp.HostClient
	req    fasthttp.Request
	resp   fasthttp.Response
}

func newBenchCaller(address, body string) *benchCaller {
	c := &benchCaller{client: &fasthttp.HostClient{Addr: address, MaxConns: 1}}
	c.req.SetRequestURI("http://" + address + "/v1/chat/completions")
	c.req.Header.SetMethod(fasthttp.MethodPost)
	c.req.Header.Set("Authorization", "Bearer "+localfleet.APIKey)
	c.req.Header.Set("X-Request-Id", "bench")
	c.req.SetBodyString(body)
	return c
}

func (c *benchCaller) send(b *testing.B) time.Duration {
	start := time.Now()
	must.NoError(b, c.client.Do(&c.req, &c.resp))
	must.Eq(b, fasthttp.StatusOK, c.resp.StatusCode())
	return time.Since(start)
}

// BenchmarkPathThroughput measures each path with callers that send one request
// after the other. It reports requests per second, and allocations per request of
// the whole process including engines and callers.
func BenchmarkPathThroughput(b *testing.B) {
	paths := benchPaths(b)
	for _, name := range []string{"direct", "forwarder", "router"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var wg sync.WaitGroup
			for range benchWorkers {
				caller := newBenchCaller(paths[name], benchBody)
				wg.Go(func() {
					for remaining.Add(-1) >= 0 {
						caller.send(b)
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// latencyRates are the rates of BenchmarkPathLatency, in requests per second.
var latencyRates = []int{4000, 16000}

// BenchmarkPathLatency sends at the same fixed rates on each path and reports the
// latency of complete answers.
func BenchmarkPathLatency(b *testing.B) {
	paths := benchPaths(b)
	for _, rate := range latencyRates {
		for _, name := range []string{"direct", "forwarder", "router"} {
			b.Run(fmt.Sprintf("%d/%s", rate, name), func(b *testing.B) { measureAtRate(b, paths[name], rate) })
		}
	}
}

func measureAtRate(b *testing.B, address string, rate int) {
	durations := make([]time.Duration, b.N)
	var next atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for range benchWorkers {
		caller := newBenchCaller(address, benchBody)
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				durations[i] = caller.send(b)
			}
		})
	}
	wg.Wait()
	reportQuantiles(b, durations)
}

func reportQuantiles(b *testing.B, durations []time.Duration) {
	slices.Sort(durations)
	quantile := func(q float64) float64 {
		return float64(durations[int(q*float64(len(durations)-1))].Microseconds())
	}
	b.ReportMetric(quantile(0.5), "p50-us")
	b.ReportMetric(quantile(0.99), "p99-us")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFirstToken reports the time from the request to the first byte of
// the first event of a stream.
func BenchmarkFirstToken(b *testing.B) {
	const body = `{"model":"large-1","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	paths := benchPaths(b)
	for _, name := range []string{"direct", "forwarder", "router"} {
		b.Run(name, func(b *testing.B) {
			caller := newBenchCaller(paths[name], body)
			durations := make([]time.Duration, b.N)
			for i := range durations {
				durations[i] = timeToFirstByte(b, paths[name], &caller.req)
			}
			reportQuantiles(b, durations)
		})
	}
}

func timeToFirstByte(b *testing.B, address string, req *fasthttp.Request) time.Duration {
	c, err := net.Dial("tcp", address)
	must.NoError(b, err)
	defer func() { _ = c.Close() }()
	start := time.Now()
	_, err = req.WriteTo(c)
	must.NoError(b, err)
	buffer := make([]byte, 4096)
	read := 0
	for !slices.Contains(buffer[:read], '{') {
		n, err := c.Read(buffer[read:])
		must.NoError(b, err)
		read += n
	}
	return time.Since(start)
}
