package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// instance is one machine of the system with the process of the deploy file.
type instance struct {
	name, ip string
	ports    ports
	settings string
	dir      string
	log      *record

	mu      sync.Mutex
	command *exec.Cmd
	// ends counts the ends for memory over the limit.
	ends int
	// highest is the highest anonymous memory of any run, in KiB.
	highest int
	stopped bool
}

// ports are the ports of an instance, the same on all machines.
type ports struct{ front, ready, directory, metrics, internal int }

// freePorts returns ports that are free on all the addresses.
func freePorts(ips []string) (ports, error) {
	for from := 21000; from < 32000; from += 40 {
		free := true
		for offset := 0; offset < 24 && free; offset++ {
			for _, ip := range ips {
				free = free && isFree(ip, from+offset)
			}
		}
		if free {
			return ports{from, from + 1, from + 2, from + 3, from + 4}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func isFree(ip string, port int) bool {
	address := net.JoinHostPort(ip, strconv.Itoa(port))
	tcp, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	_ = tcp.Close()
	udp, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = udp.Close()
	return true
}

// startInstances starts a number of instances, each on a loopback address of its own.
func startInstances(count int, storeAddress string, log *record) ([]*instance, error) {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	var ips []string
	for n := range count {
		// Two runs at the same time use different addresses.
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", 60+os.Getpid()%120, n+1))
	}
	chosen, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	var all []*instance
	for n, ip := range ips {
		i := &instance{name: fmt.Sprintf("front-pv-piacenza-%d", n+1), ip: ip, ports: chosen, dir: dir, log: log}
		if err := i.writeSettings(storeAddress); err != nil {
			return nil, err
		}
		if err := i.start(); err != nil {
			return nil, err
		}
		track(i)
		all = append(all, i)
	}
	for _, i := range all {
		if !i.awaitReady(20 * time.Second) {
			return all, fmt.Errorf("%s is not ready", i.name)
		}
	}
	return all, nil
}

func (i *instance) address(port int) string { return net.JoinHostPort(i.ip, strconv.Itoa(port)) }

func (i *instance) front() string { return i.address(i.ports.front) }

func (i *instance) writeSettings(storeAddress string) error {
	i.settings = filepath.Join(i.dir, i.name+".yaml")
	content := fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "front"
serves: ["front", "directory"]
ip: %q
zone: "pv-piacenza"
region: "padania"
zones: {pv-piacenza: "padania"}
listen: {front: %q, ready: %q, directory: %q}
internalPorts: [%d, %d]
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: %d, maxFds: %d, linkMbps: %d, diskMb: 0}
dataDir: null
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"]
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: %d, graceS: %d, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, outerMs: 5000, strictRevoke: true, revokeMs: %d, retryBudgetRatio: 0.9, budgetWindowS: 10, budgetSlack: 56, exposeShare: 0.15, exposeSlack: 30, rollbackMs: 5000, coldOvershoot: 1.5, coldSlack: 5, evacuateMs: 5000, recoveryS: 12, passMs: 120, reuseWindowS: 10, sessionS: 5, ttl_max_s: 5}
platform: {address: %q, form: "log", writesPerS: 400, readsPerS: 2000, parts: 12}
`, i.name, i.ip, i.front(), i.address(i.ports.ready), i.address(i.ports.directory), i.ports.internal, i.ports.internal+15,
		memoryMB, maxFDs, linkMbps, drainTime.Milliseconds(), graceS, revokeMS, storeAddress)
	return os.WriteFile(i.settings, []byte(content), 0o600)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	command := exec.Command("target/medlarslip-platform", "-metrics-port", strconv.Itoa(i.ports.metrics))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MEDLARSLIP_SETTINGS=" + i.settings}
	output, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	i.mu.Lock()
	i.command = command
	i.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = output.Close()
	}()
	return nil
}

func (i *instance) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + i.address(i.ports.ready) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (i *instance) awaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return true
		}
	}
	return false
}

func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command.Process.Pid
}

// kill ends the process with SIGKILL.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.command.Process.Kill()
}

// anonymous returns the anonymous memory of the process in KiB; 0 if it has ended.
func (i *instance) anonymous() int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", i.pid()))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kib
		}
	}
	return 0
}

// restartDelay is the time from the end of a process to its next start.
const restartDelay = 500 * time.Millisecond

// enforceMemory does what the platform does: it kills a process whose memory exceeds memoryMb, and
// starts it again after a short delay. Only anonymous memory counts, which is less than what the process
// occupies.
func (i *instance) enforceMemory() {
	for range time.Tick(20 * time.Millisecond) {
		i.mu.Lock()
		stopped := i.stopped
		i.mu.Unlock()
		if stopped {
			return
		}
		used := i.anonymous()
		i.mu.Lock()
		i.highest = max(i.highest, used)
		i.mu.Unlock()
		if used <= memoryMB<<10 {
			continue
		}
		i.log.say("%s uses %d KiB of anonymous memory, more than %d MB: killed, as the platform does", i.name, used, memoryMB)
		i.kill()
		i.mu.Lock()
		i.ends++
		i.mu.Unlock()
		time.Sleep(restartDelay)
		if err := i.start(); err != nil {
			i.log.say("%s can't start again: %v", i.name, err)
			return
		}
	}
}

func (i *instance) memory() (ends, highestKiB int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ends, i.highest
}

// stopAll ends all processes and removes their files.
func stopAll(all []*instance) {
	for _, i := range all {
		i.mu.Lock()
		i.stopped = true
		i.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	for _, i := range all {
		i.kill()
	}
	if len(all) > 0 {
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(all[0].dir)
		} else {
			fmt.Println("logs:", all[0].dir)
		}
	}
}
