package loopback_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/standin/loopback"
)

// Guards against a process that cannot listen on its address, since something else took the port
// after the test chose it. 500 listeners with ports of the kernel's choice and 500 outgoing
// connections are opened in between.
func TestAddressesStayFree(t *testing.T) {
	var addresses []string
	for range 100 {
		addresses = append(addresses, loopback.Addresses(3)...)
	}
	for range 500 {
		listener, err := net.Listen("tcp4", "0.0.0.0:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		conn, err := net.Dial("tcp4", listener.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", address)
		must.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
	}
}

// Guards against ports that the kernel chooses by itself, on a machine whose range of them is wider
// than the default.
func TestPortsAreBelowTheRangeOfTheKernel(t *testing.T) {
	for text, want := range map[string]int{
		"32768\t60999\n": 21300,
		"21400\t65535\n": 21300,
		"15000\t65535\n": 14900,
		// The kernel may choose every port that needs no privilege.
		"1024\t65535\n": 21300,
		"":              21300,
	} {
		must.Eq(t, want, loopback.FirstPort(text), must.Sprint(text))
	}
}

// childVariable makes a process of TestProcessesShareNoAddress print its addresses.
const childVariable = "LOOPBACK_TEST_CHILD"

// Guards against two test processes that run at the same time and use the same addresses. Each
// takes more than one block.
func TestProcessesShareNoAddress(t *testing.T) {
	const processes, each = 8, 300
	if os.Getenv(childVariable) != "" {
		for range each {
			fmt.Println("address", loopback.Address())
		}
		// Waits until the parent has read the addresses of all processes.
		_, _ = os.Stdin.Read(make([]byte, 1))
		return
	}
	lines := make([]*bufio.Scanner, processes)
	for n := range lines {
		child := exec.Command(os.Args[0], "-test.run=^TestProcessesShareNoAddress$")
		child.Env = append(os.Environ(), childVariable+"=1")
		stdin, err := child.StdinPipe()
		must.NoError(t, err)
		stdout, err := child.StdoutPipe()
		must.NoError(t, err)
		must.NoError(t, child.Start())
		t.Cleanup(func() {
			_ = stdin.Close()
			_ = child.Wait()
		})
		lines[n] = bufio.NewScanner(stdout)
	}
	seen := map[string]bool{}
	for _, output := range lines {
		for count := 0; count < each && output.Scan(); {
			if address, ok := strings.CutPrefix(output.Text(), "address "); ok {
				must.False(t, seen[address], must.Sprint(address))
				seen[address] = true
				count++
			}
		}
	}
	must.MapLen(t, processes*each, seen)
}
