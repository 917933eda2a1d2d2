// Command medlarslip-demo sends requests of every kind to a running system, and
// prints the result of each with its explanation.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/entries"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/state/requests"
	"medlarslip/internal/transport/adminapi"
	"medlarslip/internal/transport/callerapi"
)

func main() {
	entry := flag.String("entry", "127.0.0.1:8101", "IP number and port of any entry instance")
	metrics := flag.String("metrics", "", "metrics addresses of all entry instances, separated by commas")
	key := flag.String("key", "", "API key")
	flag.Parse()
	d := &demo{entry: *entry, metrics: strings.Split(*metrics, ","), key: *key}
	if err := d.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// demo sends the requests, one at a time.
type demo struct {
	entry   string
	metrics []string
	key     string
	entries []entries.Entry
}

const (
	startTimeout = 15 * time.Second
	pollInterval = 100 * time.Millisecond
	callTimeout  = 30 * time.Second
)

func (d *demo) run() error {
	steps := []func() error{d.awaitStart, d.fetchEntries, d.listModels, d.cascade, d.stream, d.session, d.booking, d.refusals}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// answer is the response to one call.
type answer struct {
	status    int
	requestID string
	version   string
	session   string
	body      []byte
}

// call is one HTTP request; key is its idempotency key, and session its session
// token. An empty address means that of the entry instance in the flags.
type call struct {
	address string
	method  string
	path    string
	body    string
	key     string
	session string
}

func (d *demo) do(c call) (*answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if c.address == "" {
		c.address = d.entry
	}
	req.SetRequestURI("http://" + c.address + c.path)
	req.Header.SetMethod(c.method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+d.key)
	if c.key != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, c.key)
	}
	if c.session != "" {
		req.Header.Set(callerapi.HeaderSessionToken, c.session)
	}
	req.SetBodyString(c.body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return nil, err
	}
	return &answer{
		status:    resp.StatusCode(),
		requestID: string(resp.Header.Peek(callerapi.HeaderRequestID)),
		version:   string(resp.Header.Peek(callerapi.HeaderVersion)),
		session:   string(resp.Header.Peek(callerapi.HeaderSessionToken)),
		body:      bytes.Clone(resp.Body()),
	}, nil
}

// awaitStart waits until every instance has a configuration in force.
func (d *demo) awaitStart() error {
	deadline := time.Now().Add(startTimeout)
	for _, address := range d.metrics {
		for !d.healthy(address) {
			if time.Now().After(deadline) {
				return errors.New("the system did not start in time; see the logs in run/")
			}
			time.Sleep(pollInterval)
		}
	}
	time.Sleep(time.Second) // the poll interval of the instance list
	return nil
}

func (d *demo) healthy(address string) bool {
	got, err := d.do(call{address: address, method: fasthttp.MethodGet, path: adminapi.HealthPath})
	return err == nil && got.status == fasthttp.StatusOK
}

func (d *demo) fetchEntries() error {
	got, err := d.do(call{method: fasthttp.MethodGet, path: entries.Path})
	if err != nil {
		return err
	}
	var list entries.Answer
	if err := json.Unmarshal(got.body, &list); err != nil {
		return err
	}
	d.entries = list.Entries
	fmt.Printf("\n== which entries to use (keep for %d ms)\n", list.TTLMillis)
	for _, entry := range list.Entries {
		fmt.Printf("   %s weight %d in %s\n", entry.Address, entry.Weight, entry.FailureDomain)
	}
	return nil
}

func (d *demo) listModels() error {
	got, err := d.do(call{method: fasthttp.MethodGet, path: openai.ModelsPath})
	if err != nil {
		return err
	}
	fmt.Printf("\n== models of this client account\n   %s\n", got.body)
	return nil
}

func chatBody(model, prompt string, stream bool) string {
	content, _ := json.Marshal(prompt) // can't fail for a string
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%s}]}`, model, stream, content)
}

func (d *demo) cascade() error {
	for _, prompt := range []string{"Summarise the cylinder log of cold room 4.", "Check the leak-test notes of shop chiller 7.", "Write the certificate line of fish hold 2."} {
		got, err := d.do(call{method: fasthttp.MethodPost, path: openai.ChatCompletionsPath, body: chatBody("draft", prompt, false)})
		if err != nil {
			return err
		}
		fmt.Printf("\n== cascade: %s\n   status %d, version %s\n", prompt, got.status, got.version)
		d.explain(got.requestID)
	}
	return nil
}

func (d *demo) stream() error {
	got, err := d.do(call{method: fasthttp.MethodPost, path: openai.ChatCompletionsPath, body: chatBody("draft", "Draft the route dossier.", true)})
	if err != nil {
		return err
	}
	events, last := 0, ""
	for event, err := range sse.Read(bytes.NewReader(got.body), nil) {
		if err != nil {
			return err
		}
		events++
		last = event.Data
	}
	fmt.Printf("\n== stream\n   status %d, version %s, %d events, last %s\n", got.status, got.version, events, last)
	d.explain(got.requestID)
	return nil
}

func (d *demo) session() error {
	first, err := d.do(call{method: fasthttp.MethodPost, path: openai.ChatCompletionsPath, body: chatBody("draft", "Start a session.", false)})
	if err != nil {
		return err
	}
	fmt.Printf("\n== session\n   %s answered by %s\n", d.entry, first.version)
	for _, entry := range d.entries {
		next, err := d.do(call{address: entry.Address, method: fasthttp.MethodPost, path: openai.ChatCompletionsPath, body: chatBody("draft", "Start a session.", false), session: first.session})
		if err != nil {
			return err
		}
		fmt.Printf("   %s answered by %s\n", entry.Address, next.version)
	}
	return nil
}

func (d *demo) booking() error {
	fmt.Println("\n== booking, sent through every entry with one Idempotency-Key")
	for _, entry := range d.entries {
		got, err := d.do(call{address: entry.Address, method: fasthttp.MethodPost, path: "/v1/services/ledger/bookings", body: `{"cylinder":"C-17"}`, key: "demo-C-17"})
		if err != nil {
			return err
		}
		fmt.Printf("   %s: status %d %s\n", entry.Address, got.status, got.body)
	}
	got, err := d.do(call{method: fasthttp.MethodGet, path: "/v1/services/ledger/bookings/demo-C-17"})
	if err != nil {
		return err
	}
	fmt.Printf("   the ledger says: %s\n", got.body)
	return nil
}

func (d *demo) refusals() error {
	fmt.Println("\n== refusals")
	calls := []call{
		{method: fasthttp.MethodPost, path: openai.ChatCompletionsPath, body: chatBody("huge", "hello", false)},
		{method: fasthttp.MethodPost, path: "/v1/services/ledger/bookings", body: `{"cylinder":"C-18"}`},
	}
	for _, c := range calls {
		got, err := d.do(c)
		if err != nil {
			return err
		}
		fmt.Printf("   %s: status %d %s\n", c.path, got.status, got.body)
	}
	return nil
}

// explain prints the explanation of a request from the instance that has it.
func (d *demo) explain(requestID string) {
	for _, address := range d.metrics {
		got, err := d.do(call{address: address, method: fasthttp.MethodGet, path: adminapi.ExplainPathPrefix + requestID})
		if err != nil || got.status != fasthttp.StatusOK {
			continue
		}
		var e requests.Explanation
		if json.Unmarshal(got.body, &e) != nil {
			continue
		}
		printExplanation(&e)
		return
	}
}

func printExplanation(e *requests.Explanation) {
	for _, attempt := range e.Attempts {
		fmt.Printf("   tried %s on %s of %d servers: %s\n", attempt.Target, attempt.Picked, len(attempt.Candidates), attempt.Result)
	}
	for _, step := range e.Steps {
		fmt.Printf("   step %s: %s, rating %.2f, cost %d micros\n", step.VersionID, step.Result, step.Rating, step.Micros)
	}
	fmt.Printf("   %s after %d ms under configuration %d\n", e.Outcome, e.TookMS, e.Configuration)
}
