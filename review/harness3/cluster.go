package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarklane.example/platform/standin"
)

const (
	serviceName = "sizing"
	hostName    = "desk.example"
	startLimit  = 30 * time.Second
)

// process is one role that runs as a process.
type process struct {
	role     string
	machine  *machine
	file     string
	settings map[string]any

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	log     bytes.Buffer
}

// Write implements io.Writer. It collects the output of the process.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// output returns what the process has written so far.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// address returns an address at which the process listens.
func (p *process) address(name string) string { return p.settings["listen"].(map[string]string)[name] }

// start writes the settings file and starts the process with the command of the
// deploy file.
func (p *process) start() error {
	b, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file, b, 0o600); err != nil {
		return err
	}
	command := exec.Command("target/platform", p.role)
	command.Env = append(os.Environ(), "SKYLARKLANE_CONFIG="+p.file)
	command.Stdout, command.Stderr = p, p
	if err := command.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.command, p.exited = command, make(chan struct{})
	exited := p.exited
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, which this program has started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// end kills the process and waits for it.
func (p *process) end() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-exited
}

// machine is a machine of the deployment, with a loopback address of its own.
type machine struct {
	name, ip, zone string
	processes      []*process
	worker         *standin.Worker
}

// signal sends a signal to all processes of the machine.
func (m *machine) signal(s syscall.Signal) {
	for _, p := range m.processes {
		p.signal(s)
	}
}

// role returns the process of a role on the machine.
func (m *machine) role(name string) *process {
	for _, p := range m.processes {
		if p.role == name {
			return p
		}
	}
	return nil
}

// cluster is a small deployment: front machines with a disk that run control and
// entry, front machines without one that run entry, and side machines that run an
// agent beside a worker.
type cluster struct {
	folder   string
	network  int
	disks    []*machine
	fronts   []*machine // all of them, those with a disk first
	sides    []*machine
	checker  *standin.Checker
	operator *standin.Operator
	client   *http.Client
}

// shape is the number of machines of each kind.
type shape struct{ disks, plain, sides int }

var zones = []string{"suva", "nadi", "lautoka", "nausori"}

// newCluster starts a deployment and waits until each entry serves a job.
func newCluster(ctx context.Context, n shape, worker standin.Resources, config standin.Config) (*cluster, error) {
	c, err := prepareCluster(n)
	if err != nil {
		return c, err
	}
	if err := c.startProcesses(ctx); err != nil {
		return c, err
	}
	if err := c.startWorkers(worker); err != nil {
		return c, err
	}
	return c, c.awaitService(ctx, config)
}

// prepareCluster prepares the machines of a deployment.
func prepareCluster(n shape) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		folder: folder, network: 1 + rand.IntN(250), checker: standin.NewChecker(),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range n.disks + n.plain {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), ip: c.ip(1 + i), zone: zones[i%len(zones)]}
		c.fronts = append(c.fronts, m)
		if i < n.disks {
			c.disks = append(c.disks, m)
		}
	}
	for i := range n.sides {
		c.sides = append(c.sides, &machine{name: fmt.Sprintf("side-%s-%d", zones[i%len(zones)], 1+i/len(zones)), ip: c.ip(101 + i), zone: zones[i%len(zones)]})
	}
	return c, nil
}

func (c *cluster) ip(n int) string { return fmt.Sprintf("127.83.%d.%d", c.network, n) }

// startProcesses starts all roles and waits until they listen.
func (c *cluster) startProcesses(ctx context.Context) error {
	var seeds []string
	for _, m := range c.disks {
		p, err := c.addProcess(m, "control", true, "control")
		if err != nil {
			return err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, p.address("control"))
		}
	}
	for _, m := range c.fronts {
		if _, err := c.addProcess(m, "entry", false, "front", "ready"); err != nil {
			return err
		}
	}
	for _, m := range c.sides {
		if _, err := c.addProcess(m, "agent", false, "control"); err != nil {
			return err
		}
	}
	for _, p := range c.processes() {
		p.settings["seeds"] = seeds
		if err := p.start(); err != nil {
			return err
		}
		p.settings["bootstrap"] = false
	}
	for _, p := range c.processes() {
		if err := until(ctx, p.machine.name+" "+p.role+" listens", func() bool { return strings.Contains(p.output(), `"event":"processStarted"`) }); err != nil {
			return fmt.Errorf("%w\n%s", err, p.output())
		}
	}
	c.operator = standin.NewOperator(seeds...)
	return nil
}

// startWorkers starts a worker beside each agent.
func (c *cluster) startWorkers(worker standin.Resources) error {
	for i, m := range c.sides {
		w, err := standin.NewWorker(standin.WorkerConfig{
			ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Service: serviceName, Zone: m.zone, Drift: 0.01, IP: m.ip, Capacity: worker,
			Agent: m.role("agent").address("control"), Seed: uint64(i),
		}, c.checker)
		if err != nil {
			return err
		}
		m.worker = w
	}
	return nil
}

// addProcess prepares a role on a machine.
func (c *cluster) addProcess(m *machine, role string, disk bool, names ...string) (*process, error) {
	listen := map[string]string{}
	ports, err := freePorts(m.ip, len(names)+1)
	if err != nil {
		return nil, err
	}
	for i, name := range names {
		listen[name] = fmt.Sprintf("%s:%d", m.ip, ports[i])
	}
	class := "front"
	if role == "agent" {
		class = "side"
	}
	zoneTable := map[string]string{}
	for _, z := range zones {
		zoneTable[z] = "viti-levu"
	}
	settings := map[string]any{
		"node_name": m.name, "role": role, "machine_class": class, "serves": names, "ip": m.ip, "zone": m.zone, "region": "viti-levu", "zones": zoneTable,
		"listen": listen, "internal_port_range": []int{ports[len(names)], ports[len(names)]}, "bootstrap": true, "loss_counts": disk,
		"limits":    map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128},
		"discovery": "local", "entry": "vip", "heartbeat_ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recover_s": 12, "hold_max_ms": 1000, "stop_ms": 50,
			"gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "lease_ms": 3000, "thaw_ms": 300,
			"retransmit_ms": 1300, "require_fencing": true},
		"config_mode": "highest", "command_mode": "dispatch",
	}
	if disk {
		settings["data_dir"] = filepath.Join(c.folder, m.name+"-data")
		if err := os.Mkdir(settings["data_dir"].(string), 0o700); err != nil {
			return nil, err
		}
	}
	p := &process{role: role, machine: m, file: filepath.Join(c.folder, m.name+"-"+role+".json"), settings: settings}
	m.processes = append(m.processes, p)
	return p, nil
}

// freePorts returns unused ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	ports := make([]int, n)
	for i := range ports {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // until all are chosen
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

func (c *cluster) processes() []*process {
	var all []*process
	for _, machines := range [][]*machine{c.fronts, c.sides} {
		for _, m := range machines {
			all = append(all, m.processes...)
		}
	}
	return all
}

// awaitService publishes the first configuration and waits until each entry serves a
// job and its readiness check succeeds.
func (c *cluster) awaitService(ctx context.Context, config standin.Config) error {
	if err := c.publish(ctx, config); err != nil {
		return err
	}
	caller := c.caller(config.Routes[0].Prefix)
	for i, m := range c.fronts {
		n := uint64(0)
		err := until(ctx, m.name+" serves a job", func() bool {
			n++
			tryCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			result := caller.SubmitOnce(tryCtx, standin.NewJob(uint64(i+1)<<32+n, 1, 10*time.Millisecond), i)
			return result.Status == http.StatusOK && result.State == "completed" && c.isReady(m)
		})
		if err != nil {
			return err
		}
	}
	c.checker.Note("the deployment serves")
	return nil
}

func (c *cluster) isReady(m *machine) bool {
	response, err := c.client.Get("http://" + m.role("entry").address("ready") + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// publish has a configuration acknowledged.
func (c *cluster) publish(ctx context.Context, config standin.Config) error {
	b, err := json.Marshal(config)
	if err != nil {
		return err
	}
	status := c.operator.Replace(ctx, b, 0)
	c.checker.Note(fmt.Sprintf("operator: version %d answered with %d", config.Version, status))
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d: status %d", config.Version, status)
	}
	return nil
}

// caller returns a caller of a route at the entries, in the order of fronts.
func (c *cluster) caller(prefix string) *standin.Caller {
	var frontends []string
	for _, m := range c.fronts {
		frontends = append(frontends, m.role("entry").address("front"))
	}
	return standin.NewCaller(c.checker, hostName, prefix, frontends...)
}

// leader returns the machine whose control host was elected last.
func (c *cluster) leader() *machine {
	var found *machine
	latest := ""
	for _, m := range c.disks {
		for _, line := range strings.Split(m.role("control").output(), "\n") {
			var e struct{ Event, Reason, Time, Ts string }
			if json.Unmarshal([]byte(line), &e) == nil && e.Event == "leaderChanged" && e.Reason == "elected" && e.Time+e.Ts >= latest {
				found, latest = m, e.Time+e.Ts
			}
		}
	}
	return found
}

// close ends all processes and removes the folder.
func (c *cluster) close() {
	for _, m := range c.sides {
		if m.worker != nil {
			m.worker.Crash()
		}
	}
	for _, p := range c.processes() {
		p.end()
	}
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		for _, p := range c.processes() {
			_ = os.WriteFile(filepath.Join(folder, p.machine.name+"-"+p.role+".log"), []byte(p.output()), 0o600)
		}
	}
	_ = os.RemoveAll(c.folder)
}

// until waits for a condition.
func until(ctx context.Context, what string, met func() bool) error {
	for deadline := time.Now().Add(startLimit); !met(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("not met in time: %s", what)
		}
	}
	return nil
}
