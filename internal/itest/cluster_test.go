// Package itest contains integration tests that run real processes behind a
// fault-injecting proxy.
package itest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/model/audit"
	"sycamoredeck.example/internal/model/caller"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// waitTimeout limits each wait. It is long, since the machine may be under load.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	// workerLease is short, so that tests wait less for its expiry.
	workerLease = 1500 * time.Millisecond
)

var binaries string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "itest")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder, "sycamoredeck.example/cmd/...")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binaries = folder
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

type (
	process struct {
		name    string
		command []string
		cmd     *exec.Cmd
		out     string
		exited  chan struct{}
	}

	cluster struct {
		t                 *testing.T
		folder            string
		mesh              *proxyMesh
		mu                sync.Mutex
		processes         map[string]*process
		controls, entries []string
		advertisedAddress map[string]string // by process name
		listenAddress     map[string]string // by process name
		journals          []string
		conns             map[string]*grpc.ClientConn
	}
)

// newCluster starts control and entry processes with the given additional flags, and
// waits until all entries are known to each other.
func newCluster(t *testing.T, controls, entries int, flags ...string) *cluster {
	t.Helper()
	t.Parallel()
	c := &cluster{
		t: t, folder: t.TempDir(), mesh: newProxyMesh(), processes: map[string]*process{},
		advertisedAddress: map[string]string{}, listenAddress: map[string]string{}, conns: map[string]*grpc.ClientConn{},
	}
	t.Cleanup(c.stop)
	for i := range controls {
		c.controls = append(c.controls, c.reserve(fmt.Sprintf("control-%d", i)))
	}
	for i := range entries {
		c.entries = append(c.entries, c.reserve(fmt.Sprintf("entry-%d", i)))
	}
	for _, n := range c.controls {
		c.start(n, append(c.controlCommand(n), flags...))
	}
	for _, n := range c.entries {
		c.start(n, append(c.entryCommand(n), flags...))
	}
	for _, e := range c.entries {
		c.waitFor(e+" serves", func() bool { return len(c.statusAt(e).GetEntries()) == entries })
	}
	return c
}

// reserve assigns the addresses of a process and starts its proxy.
func (c *cluster) reserve(name string) string {
	c.listenAddress[name] = freeAddress(c.t)
	c.advertisedAddress[name] = c.mesh.listen(c.t, name, c.listenAddress[name])
	return name
}

// nextPort counts up below the ephemeral port range, so that no port is assigned twice
// between its reservation and its use.
var nextPort atomic.Int32

// processIP is a loopback address that only this test process uses, since others count
// their ports in the same way.
var processIP = fmt.Sprintf("127.%d.%d.2", 64+os.Getpid()/250%64, 1+os.Getpid()%250)

func freeAddress(t *testing.T) string {
	t.Helper()
	// A process that is forked meanwhile would keep the listener open until it executes its
	// program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range 5000 {
		address := fmt.Sprintf("%s:%d", processIP, 20000+nextPort.Add(1)%12000)
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (c *cluster) advertisedAddresses(names []string) string {
	var list []string
	for _, n := range names {
		list = append(list, c.advertisedAddress[n])
	}
	return strings.Join(list, ",")
}

func (c *cluster) controlCommand(name string) []string {
	var members []string
	for _, n := range c.controls {
		members = append(members, n+"="+c.advertisedAddress[n])
	}
	return []string{
		"sycamoredeck", "control", "--instance-id", name, "--failure-domain", "fd-" + name,
		"--listen-address", c.listenAddress[name], "--advertise-address", c.advertisedAddress[name],
		"--data-folder", filepath.Join(c.folder, name), "--founding-members", strings.Join(members, ","),
		"--heartbeat-interval", "50ms", "--election-timeout", "400ms", "--worker-lease", workerLease.String(),
		"--snapshot-records", "200", "--drain-timeout", "10s", "--source-address", c.mesh.sourceIP(name),
	}
}

func (c *cluster) entryCommand(name string) []string {
	return []string{
		"sycamoredeck", "entry", "--instance-id", name, "--failure-domain", "fd-" + name,
		"--listen-address", c.listenAddress[name], "--advertise-address", c.advertisedAddress[name], "--source-address", c.mesh.sourceIP(name),
		"--control-addresses", c.advertisedAddresses(c.controls), "--drain-delay", "500ms",
	}
}

// server starts a backend server of service "svc".
func (c *cluster) server(name string, flags ...string) {
	c.reserve(name)
	c.start(name, append([]string{
		"standin", "server", "--id", name, "--service", "svc", "--listen", c.listenAddress[name], "--advertise", c.advertisedAddress[name],
		"--entries", c.advertisedAddresses(c.entries), "--service-time", "2ms", "--journal", c.journal(name),
	}, flags...))
}

// worker starts a worker with capacity for four tasks of kind "batch".
func (c *cluster) worker(name string, flags ...string) {
	c.start(name, append([]string{
		"standin", "worker", "--id", name, "--entries", c.advertisedAddresses(c.entries), "--milli-processors", "4000",
		"--memory-bytes", "4000000", "--report-interval", "200ms", "--unit-time", "20ms", "--journal", c.journal(name),
	}, flags...))
}

func (c *cluster) journal(name string) string {
	path := filepath.Join(c.folder, name+".journal")
	for _, j := range c.journals {
		if j == path {
			return path
		}
	}
	c.journals = append(c.journals, path)
	return path
}

// start starts a command, whose logs are appended if it ran before.
func (c *cluster) start(name string, command []string) *process {
	p := &process{name: name, command: command, out: filepath.Join(c.folder, name+".out"), exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, command[0]), command[1:]...)
	out, err := os.Create(p.out)
	assert.NilError(c.t, err)
	log, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	p.cmd.Stdout, p.cmd.Stderr = out, log
	p.cmd.Env = []string{"HOME=" + c.folder}
	// Child processes must not outlive a killed test run.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(c.t, p.cmd.Start())
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		out.Close()
		log.Close()
		close(p.exited)
	}()
	return p
}

func (c *cluster) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.t.Helper()
	assert.NilError(c.t, c.process(name).cmd.Process.Signal(s), name)
}

// kill terminates a process with SIGKILL.
func (c *cluster) kill(name string) {
	c.t.Helper()
	c.signal(name, syscall.SIGKILL)
	c.wait(name)
}

func (c *cluster) wait(name string) {
	c.t.Helper()
	select {
	case <-c.process(name).exited:
	case <-time.After(waitTimeout):
		c.t.Fatalf("%s does not exit", name)
	}
}

func (c *cluster) restart(name string) {
	c.start(name, c.process(name).command)
}

func (c *cluster) stop() {
	for _, cc := range c.conns {
		cc.Close()
	}
	for _, p := range c.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range c.processes {
		<-p.exited
	}
	if c.t.Failed() {
		for n := range c.processes {
			for _, k := range []string{".log", ".out"} {
				log, _ := os.ReadFile(filepath.Join(c.folder, n+k))
				c.t.Logf("%s%s:\n%s", n, k, log[max(0, len(log)-3000):])
			}
		}
	}
}

// waitFor waits until a condition holds.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// connTo returns a direct connection to an entry, which bypasses the proxy.
func (c *cluster) connTo(entry string) *grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[entry] == nil {
		conn, err := grpc.NewClient("passthrough:///"+c.listenAddress[entry], grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: pollInterval, MaxDelay: 10 * pollInterval}, MinConnectTimeout: time.Second}))
		assert.NilError(c.t, err)
		c.conns[entry] = conn
	}
	return c.conns[entry]
}

func (c *cluster) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 20*time.Second)
}

// status returns the status from the first entry that answers, or nil.
func (c *cluster) status() *wire.GetStatusResponse {
	for _, e := range c.entries {
		if s := c.statusAt(e); s != nil {
			return s
		}
	}
	return nil
}

func (c *cluster) statusAt(entry string) *wire.GetStatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s, err := wire.NewOperatorServiceClient(c.connTo(entry)).GetStatus(ctx, &wire.GetStatusRequest{})
	if err != nil {
		return nil
	}
	return s
}

func (c *cluster) leader() string {
	c.t.Helper()
	var leader string
	c.waitFor("there is a leader", func() bool {
		leader = c.status().GetLeader()
		return leader != ""
	})
	return leader
}

func testConfiguration(share float64) *wire.Configuration {
	need := &wire.Resources{MilliProcessors: 1000, MemoryBytes: 1000000}
	return &wire.Configuration{
		ClientAccounts: []*wire.ClientAccount{{Name: "acct", Share: share}},
		Services:       []*wire.Service{{Name: "svc", ClientAccount: "acct"}},
		JobKinds: []*wire.JobKind{
			{Name: "batch", ClientAccount: "acct", Class: wire.JobClass_JOB_CLASS_BATCH, Idempotent: true, Resources: need},
			{Name: "once", ClientAccount: "acct", Class: wire.JobClass_JOB_CLASS_BATCH, Resources: need},
			{Name: "standing", ClientAccount: "acct", Class: wire.JobClass_JOB_CLASS_STANDING, Resources: need},
		},
	}
}

func (c *cluster) apply(entry, operation string, expected uint64, share float64) (*wire.ApplyConfigurationResponse, error) {
	ctx, cancel := c.context()
	defer cancel()
	return wire.NewOperatorServiceClient(c.connTo(entry)).ApplyConfiguration(ctx, &wire.ApplyConfigurationRequest{
		OperationId: operation, ExpectedVersion: expected, Configuration: testConfiguration(share),
	})
}

// configure applies the first configuration and waits until it is in force.
func (c *cluster) configure() {
	c.t.Helper()
	r, err := c.apply(c.entries[0], "first", 0, 1)
	assert.NilError(c.t, err)
	assert.Equal(c.t, r.Outcome, wire.ApplyOutcome_APPLY_OUTCOME_APPLIED)
	c.waitFor("the configuration is in force", func() bool {
		for _, e := range c.status().GetEntries() {
			if e.ConfigurationVersion < 1 {
				return false
			}
		}
		return true
	})
}

func (c *cluster) waitWorkers(count int) {
	c.t.Helper()
	c.waitFor("the workers are connected", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		r, err := wire.NewOperatorServiceClient(c.connTo(c.entries[0])).ListWorkers(ctx, &wire.ListWorkersRequest{})
		connected := 0
		for _, w := range r.GetWorkers() {
			if w.Attending {
				connected++
			}
		}
		return err == nil && connected == count
	})
}

// waitUsable waits until each entry has the given number of usable backend servers.
func (c *cluster) waitUsable(count int) {
	c.t.Helper()
	c.waitFor("the backend servers are known", func() bool {
		for _, e := range c.entries {
			if c.usable(e) != count {
				return false
			}
		}
		return true
	})
}

func (c *cluster) usable(entry string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := wire.NewOperatorServiceClient(c.connTo(entry)).ListBackendServers(ctx, &wire.ListBackendServersRequest{})
	if err != nil {
		return -1
	}
	n := 0
	for _, b := range r.BackendServers {
		if b.Usable {
			n++
		}
	}
	return n
}

func (c *cluster) call(entry, id string, idempotent bool) (*wire.CallResponse, error) {
	return c.send(entry, &wire.CallRequest{RequestId: id, Idempotent: idempotent})
}

// send sets the common fields of a call and sends it.
func (c *cluster) send(entry string, r *wire.CallRequest) (*wire.CallResponse, error) {
	ctx, cancel := c.context()
	defer cancel()
	r.ClientAccount, r.Service, r.Payload = "acct", "svc", []byte("p")
	return wire.NewCallerServiceClient(c.connTo(entry)).Call(ctx, r)
}

// startLoad starts a caller process. The returned function waits for its report.
func (c *cluster) startLoad(name string, flags ...string) func() *caller.Report {
	p := c.start(name, append([]string{
		"standin", "caller", "--entries", c.advertisedAddresses(c.entries), "--client-account", "acct", "--service", "svc",
		"--prefix", name, "--journal", c.journal(name),
	}, flags...))
	return func() *caller.Report {
		c.t.Helper()
		c.wait(name)
		r := &caller.Report{}
		data, err := os.ReadFile(p.out)
		assert.NilError(c.t, err)
		assert.NilError(c.t, json.Unmarshal(data, r), "%s", data)
		return r
	}
}

// assertNoViolations checks the journals of all workers, servers and callers.
func (c *cluster) assertNoViolations() *audit.Findings {
	c.t.Helper()
	var present []string
	for _, j := range c.journals {
		if _, err := os.Stat(j); err == nil {
			present = append(present, j)
		}
	}
	events, err := audit.Read(present)
	assert.NilError(c.t, err)
	f := audit.Check(events, func(id string) bool { return strings.HasPrefix(id, "once") })
	assert.Equal(c.t, f.Violations(), 0, "%v", f.Examples)
	return f
}
