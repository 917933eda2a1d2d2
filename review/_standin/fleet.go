package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is one process of the system, started with the command of the deploy file.
type instance struct {
	name, ip, zone string
	front, ready   string
	directory      string
	settings       string
	cmd            *exec.Cmd
	log            *os.File
	exited         chan struct{}
}

// fleet is a set of instances on loopback addresses.
type fleet struct {
	instances []*instance
	folder    string
	root      string
	rec       *recorder
}

// run is the command of deploy/system.toml, split at spaces.
var run = strings.Fields("target/medlarslip-platform -metrics-port 9464")

const settingsText = `nodeName: "%[1]s"
role: "entry"
machineClass: "front"
serves:
  - "front"
  - "directory"
ip: "%[2]s"
zone: "%[3]s"
region: "windhoek"
zones:
  windhoek-a: "windhoek"
  windhoek-b: "windhoek"
  windhoek-c: "windhoek"
listen:
  front: "%[4]s"
  ready: "%[5]s"
  directory: "%[6]s"
internalPorts:
  - %[7]d
  - %[8]d
bootstrap: true
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: %[9]d
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "directory"
heartbeatMs: 1200
tolerate:
  machines: 2
  zones: 1
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  outerMs: 5000
  strictRevoke: true
  revokeMs: 5000
  retryBudgetRatio: 0.9
  budgetWindowS: 10
  budgetSlack: 56
  exposeShare: 0.15
  exposeSlack: 30
  rollbackMs: 5000
  coldOvershoot: 1.5
  coldSlack: 5
  evacuateMs: 5000
  recoveryS: 12
  passMs: 120
  reuseWindowS: 10
  sessionS: 5
  ttl_max_s: 5
platform:
  address: "%[10]s"
  form: "log"
  writesPerS: 400
  readsPerS: 2000
  parts: 12
  appendMs: 2.0
  partMbS: 20.0
  readMbS: 80.0
  recordBytes: 262144
  callBytes: 2097152
  keep_s: 300
  partMb: 200
  ttlMinMs: 1000
`

var zones = []string{"windhoek-a", "windhoek-b", "windhoek-c"}

// startFleet starts instances on free loopback addresses and waits until they are ready.
// storeAddress returns the address of the store for each of them.
func startFleet(count, memoryMB int, storeAddress func(n int) string, rec *recorder) (*fleet, error) {
	folder, err := os.MkdirTemp("", "medlarslip-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, root: os.Getenv("REVIEW_ROOT"), rec: rec}
	for n := range count {
		i, err := f.prepare(n, memoryMB, storeAddress(n))
		if err != nil {
			return f, err
		}
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		if err := f.start(i); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(15 * time.Second)
}

func (f *fleet) prepare(n, memoryMB int, storeAddress string) (*instance, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+n)
		base := 20000 + rand.IntN(9000)
		ports := []int{base, base + 1, base + 2, base + 3, 9464}
		free := true
		for _, port := range ports {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if !free {
			continue
		}
		zone := zones[n%len(zones)]
		i := &instance{
			name: fmt.Sprintf("front-%s-%d", zone, n/len(zones)+1), ip: ip, zone: zone,
			front: fmt.Sprintf("%s:%d", ip, base), ready: fmt.Sprintf("%s:%d", ip, base+1), directory: fmt.Sprintf("%s:%d", ip, base+2),
		}
		i.settings = filepath.Join(f.folder, i.name+".yaml")
		text := fmt.Sprintf(settingsText, i.name, ip, zone, i.front, i.ready, i.directory, base+3, base+18, memoryMB, storeAddress)
		return i, os.WriteFile(i.settings, []byte(text), 0o600)
	}
	return nil, fmt.Errorf("no free loopback address")
}

// start starts the process of an instance.
func (f *fleet) start(i *instance) error {
	log, err := os.OpenFile(filepath.Join(f.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.log = log
	i.cmd = exec.Command(filepath.Join(f.root, run[0]), run[1:]...)
	i.cmd.Dir = f.root
	i.cmd.Env = []string{"MEDLARSLIP_SETTINGS=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C"}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(i.cmd, i.exited)
	return nil
}

func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(limit)
	for _, i := range f.instances {
		for {
			resp, err := client.Get("http://" + i.ready + "/api/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("instance %s did not get ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that the fleet started. With REVIEW_KEEP set, the logs stay.
func (f *fleet) stop() {
	for _, i := range f.instances {
		if i.cmd == nil || i.cmd.Process == nil {
			continue
		}
		_ = i.cmd.Process.Kill()
		<-i.exited
		_ = i.log.Close()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", f.folder)
	}
}

// addresses asks the directory of the instances where to connect, as clients do.
func (f *fleet) addresses(client *http.Client, zone string) []string {
	for _, i := range f.instances {
		resp, err := client.Get("http://" + i.directory + "/api/resolve?name=records.example&region=windhoek&zone=" + zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// graceTime is graceS.
const graceTime = 8 * time.Second

// describe records whether some instances say that they are ready, which addresses their
// directories name, and whether they end within graceS of a SIGTERM.
func (f *fleet) describe(match func(*instance) bool) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var described []*instance
	for _, i := range f.instances {
		if !match(i) {
			continue
		}
		described = append(described, i)
		for _, url := range []string{"http://" + i.ready + "/api/readiness", "http://" + i.directory + "/api/resolve?name=records.example&region=windhoek&zone=" + i.zone} {
			resp, err := client.Get(url)
			if err != nil {
				f.rec.line("%s: %v", i.name, err)
				continue
			}
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			f.rec.line("%s at %s answers %s with %d: %s", i.name, i.front, url, resp.StatusCode, body)
		}
		_ = i.cmd.Process.Signal(syscall.SIGTERM)
	}
	grace := time.After(graceTime)
	for _, i := range described {
		select {
		case <-i.exited:
			f.rec.line("%s has ended after SIGTERM", i.name)
		case <-grace:
			f.rec.line("%s has not ended %s after SIGTERM", i.name, graceTime)
			return
		}
	}
}
