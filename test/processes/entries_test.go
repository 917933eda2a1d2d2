// Package processes_test runs entry instances as separate processes, kills and
// pauses them under load, and compares the responses of callers with the records
// of the simulated ledger and log service.
package processes_test

import (
	"encoding/base64"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/standin/localfleet"
)

// entryProcess is an entry instance that can be restarted under the same name.
type entryProcess struct {
	t        *testing.T
	binary   string
	settings *settings.Entry
	file     string
	command  *exec.Cmd
}

func buildEntry(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "medlarslip-entry")
	build := exec.Command("go", "build", "-o", binary, "medlarslip/cmd/medlarslip-entry")
	output, err := build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	return binary
}

func newEntryProcess(t *testing.T, fleet *localfleet.Fleet, binary, id, failureDomain string) *entryProcess {
	t.Helper()
	dir := t.TempDir()
	s := fleet.Settings(id, failureDomain)
	s.Keys.SharedKeyFile = filepath.Join(dir, "shared.key")
	key := base64.StdEncoding.EncodeToString([]byte(localfleet.SharedKey))
	must.NoError(t, os.WriteFile(s.Keys.SharedKeyFile, []byte(key), 0o600))
	text, err := yaml.Marshal(s)
	must.NoError(t, err)
	e := &entryProcess{t: t, binary: binary, settings: s, file: filepath.Join(dir, "entry.yaml")}
	must.NoError(t, os.WriteFile(e.file, text, 0o600))
	fleet.AddEntry(s)
	t.Cleanup(e.kill)
	return e
}

func (e *entryProcess) start() {
	e.t.Helper()
	e.command = exec.Command(e.binary, "-settings", e.file)
	e.command.Stderr = e.t.Output()
	must.NoError(e.t, e.command.Start())
}

// kill ends the process at once with SIGKILL.
func (e *entryProcess) kill() {
	if e.command == nil {
		return
	}
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
	e.command = nil
}

// pause suspends the process with SIGSTOP; resume continues it.
func (e *entryProcess) pause()  { e.signal(syscall.SIGSTOP) }
func (e *entryProcess) resume() { e.signal(syscall.SIGCONT) }

// stop carries out a planned stop and requires exit code 0.
func (e *entryProcess) stop() {
	e.t.Helper()
	e.signal(syscall.SIGTERM)
	must.NoError(e.t, e.command.Wait())
	e.command = nil
}

func (e *entryProcess) signal(signal syscall.Signal) {
	e.t.Helper()
	must.NoError(e.t, e.command.Process.Signal(signal))
}
