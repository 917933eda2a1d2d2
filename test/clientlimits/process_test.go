// Package clientlimits_test runs instances as separate processes with small limits, and
// connects clients to them that do not comply with the limits of the configuration. It
// checks that the process keeps running, that its memory and its file descriptors stay within
// the limits of its settings, and that an ordinary request is answered afterwards.
//
// The tests run one at a time, since each of them loads the machine.
package clientlimits_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/standin/loopback"
)

const (
	// memoryMB is the memory of the machine in the settings, and the bound of the
	// resident memory of the process.
	memoryMB = 64
	// maxFDs is the number of file descriptors in the settings, and the bound of those
	// that the process has open. Half of those that are not reserved for files, thus 400,
	// are for clients.
	maxFDs = 1000
	// maxBody is the largest request body that the configuration allows.
	maxBody = 4 << 20
	// testTime bounds each wait of a test: the longest deadline that requests have.
	testTime = 20 * time.Second
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "clientlimits")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "medlarslip/cmd/medlarslip-platform", "medlarslip/cmd/medlarslip-entry", "medlarslip/cmd/standin-metastore")
	code := 1
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// instance is a running process and its addresses. relay is the address of the listener for peers.
type instance struct {
	front, ready, directory, relay, metrics string
	process                                 *exec.Cmd
	exited                                  chan struct{}
	// ordinary sends an ordinary request, and reports whether it was answered.
	ordinary func() bool

	mu sync.Mutex
	// maxOpen is the largest number of open file descriptors that was seen.
	maxOpen int
}

// startProcess starts a program, and kills it at the end of the test.
func startProcess(t *testing.T, name string, output io.Writer, arguments ...string) (process *exec.Cmd, exited chan struct{}) {
	t.Helper()
	process = exec.Command(filepath.Join(binaries, name), arguments...)
	process.Stdout, process.Stderr = output, output
	// The kernel kills the process if the test process dies, for example at its time limit.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must.NoError(t, process.Start())
	exited = make(chan struct{})
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = process.Process.Kill()
		<-exited
	})
	return process, exited
}

// startInstance starts an instance with the stand-in of the store and its servers, and
// returns once it is ready.
func startInstance(t *testing.T) *instance {
	t.Helper()
	store := loopback.Address()
	startProcess(t, "standin-metastore", io.Discard, "-listen", store, "-max-body", strconv.Itoa(maxBody))
	addresses := loopback.Addresses(5)
	ip, _, err := net.SplitHostPort(addresses[0])
	must.NoError(t, err)
	i := &instance{front: addresses[0], ready: addresses[1], directory: addresses[2], relay: addresses[3], metrics: addresses[4]}
	body := bytes.Repeat([]byte("o"), 2000)
	i.ordinary = func() bool { return i.ordinaryRequest(body) == http.StatusOK }
	port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
	settings := fmt.Sprintf(`nodeName: "entry-1"
zone: "a"
ip: %q
listen: {front: %q, ready: %q, directory: %q}
internalPorts: [%s, %s]
limits: {memoryMb: %d, maxFds: %d, linkMbps: 1000}
bounds: {graceS: 8, strictRevoke: true, revokeMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, budgetSlack: 56, exposeShare: 0.15, coldOvershoot: 1.5, coldSlack: 5}
platform: {address: %q}
`, ip, i.front, i.ready, i.directory, port(i.relay), port(i.relay), memoryMB, maxFDs, store)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = log.Close()
		if t.Failed() {
			content, _ := os.ReadFile(log.Name())
			t.Logf("end of the log:\n%s", content[max(0, len(content)-2000):])
		}
	})
	i.process, i.exited = startProcess(t, "medlarslip-platform", log, "-settings", path, "-metrics-port", port(i.metrics))
	i.eventually(t, "instance is not ready", func() bool { return answers("http://" + i.ready + "/") })
	go i.sample()
	return i
}

// eventually polls a condition until it holds, and fails after testTime or if the process
// ends.
func (i *instance) eventually(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTime); !condition(); {
		select {
		case <-i.exited:
			t.Fatalf("%s: the process has ended: %v", message, i.process.ProcessState)
		case <-time.After(50 * time.Millisecond):
		}
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

// sample records the largest number of open file descriptors until the process ends.
func (i *instance) sample() {
	for {
		if open := i.openFDs(); open > 0 {
			i.mu.Lock()
			i.maxOpen = max(i.maxOpen, open)
			i.mu.Unlock()
		}
		select {
		case <-i.exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// settle waits until the process uses hardly any processor time, which means that it has read
// what the clients have sent, or testTime at most.
func (i *instance) settle() {
	const (
		interval   = 250 * time.Millisecond
		idleTicks  = 2
		idleRounds = 3
	)
	idle := 0
	for end := time.Now().Add(testTime); idle < idleRounds && time.Now().Before(end); {
		before := i.cpuTicks()
		time.Sleep(interval)
		if i.cpuTicks()-before <= idleTicks {
			idle++
		} else {
			idle = 0
		}
	}
}

// cpuTicks returns the processor time that the process has used, in clock ticks.
func (i *instance) cpuTicks() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.process.Process.Pid))
	if err != nil {
		return 0
	}
	// The fields that follow the name of the program, from the third on; user and system
	// time are the fields 14 and 15 (proc(5)).
	fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return user + system
}

func (i *instance) openFDs() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.process.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemory returns the peak of the resident memory in bytes.
func (i *instance) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.process.Process.Pid))
	must.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(text)[0])
			must.NoError(t, err)
			return kib << 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

// ordinaryRequest sends one request with a body and returns the status of its response; 0
// if there is none.
func (i *instance) ordinaryRequest(body []byte) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+i.front+"/lookups/1", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "records.example"
	request.Header.Set("Authorization", "Bearer demo-key")
	request.Header.Set("X-Medlarslip-Request-Id", "ordinary-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 99, 1)}}
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// checkServes checks what must hold while the clients are connected: an ordinary client that
// repeats its request gets a response, and memory and descriptors stay within bounds.
func (i *instance) checkServes(t *testing.T) {
	t.Helper()
	i.settle()
	i.checkServesNow(t)
}

// checkServesNow is checkServes while the clients go on to send.
func (i *instance) checkServesNow(t *testing.T) {
	t.Helper()
	defer func() {
		select {
		case <-i.exited:
			t.Errorf("the process has ended: %v", i.process.ProcessState)
			return
		default:
		}
		memory := i.peakMemory(t)
		i.mu.Lock()
		open := i.maxOpen
		i.mu.Unlock()
		t.Logf("peak memory %.1f MiB of %d, open descriptors %d of %d", float64(memory)/(1<<20), memoryMB, open, maxFDs)
		if memory > memoryMB<<20 {
			t.Errorf("peak memory is %d bytes; the machine has %d", memory, memoryMB<<20)
		}
		if open > maxFDs {
			t.Errorf("%d descriptors were open; the machine has %d", open, maxFDs)
		}
	}()
	i.eventually(t, "no ordinary request was answered", i.ordinary)
}
