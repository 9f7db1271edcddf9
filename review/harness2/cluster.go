package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	host    = "desk.example"
	service = "sizing"
	prefix  = "/check/"
)

// process is a role of the project, run with the command of the deploy file.
type process struct {
	role, name, ip, file string
	settings             map[string]any
	rec                  *record
	log                  *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (p *process) writeSettings() error {
	b, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(p.file+".new", p.file)
}

func (p *process) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	command := exec.Command("target/platform", p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SKYLARKLANE_CONFIG=" + p.file}
	command.Stdout, command.Stderr = p.log, p.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited = command, exited
	p.mu.Unlock()
	p.rec.logf("process %s starts", p.name)
	go func() {
		_ = command.Wait()
		p.rec.logf("process %s has ended: %v", p.name, command.ProcessState)
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil {
		return
	}
	p.rec.logf("process %s gets %v", p.name, s)
	_ = command.Process.Signal(s)
}

func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-exited
}

func (p *process) address(name string) string { return p.settings["listen"].(map[string]string)[name] }

// internalAddress returns the address at which an agent serves entries.
func (p *process) internalAddress() string {
	return net.JoinHostPort(p.ip, strconv.Itoa(p.settings["internal_port_range"].([]int)[0]))
}

// cluster is a small deployment: control hosts with a disk, entries, and agents
// with a worker each.
type cluster struct {
	rec      *record
	jobs     *jobs
	folder   string
	controls []*process
	entries  []*process
	agents   []*process
	workers  []*worker
	client   *http.Client
	ips      int
}

func newCluster(rec *record) (*cluster, error) {
	folder, err := os.MkdirTemp("", "skylarklane-review")
	if err != nil {
		return nil, err
	}
	return &cluster{rec: rec, jobs: newJobs(rec), folder: folder, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}, nil
}

func (c *cluster) newIP() string {
	c.ips++
	return fmt.Sprintf("127.%d.%d.%d", 80+os.Getpid()%100, os.Getpid()/100%250, c.ips)
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (c *cluster) newProcess(role, name, zone string, listens ...string) (*process, error) {
	ip := c.newIP()
	listen := map[string]string{}
	for _, one := range listens {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		listen[one] = net.JoinHostPort(ip, strconv.Itoa(port))
	}
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{role: role, name: name, ip: ip, file: filepath.Join(c.folder, name+".json"), rec: c.rec, log: log}
	p.settings = map[string]any{
		"node_name": name, "role": role, "ip": ip, "zone": zone, "region": "viti-levu", "listen": listen,
		"internal_port_range": []int{port, port}, "bootstrap": true, "loss_counts": role == "control",
		"limits":       map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128},
		"heartbeat_ms": heartbeatMS, "fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"command_mode": "dispatch", "config_mode": "highest",
		"bounds": map[string]any{"seed_lag_s": 3, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "recover_s": 12, "hold_max_ms": holdMaxMS, "stop_ms": 50,
			"cancel_ms": 3000, "visible_ms": 3000, "require_fencing": true, "lease_ms": 3000, "retransmit_ms": 1300},
	}
	if role == "control" {
		data := filepath.Join(c.folder, name+".data")
		if err := os.Mkdir(data, 0o700); err != nil {
			return nil, err
		}
		p.settings["data_dir"] = data
	}
	return p, nil
}

// start starts the processes and a worker beside each agent, publishes the first
// configuration and waits until each entry is ready.
func (c *cluster) start(controls, entries int, kinds []kind) error {
	zones := []string{"suva", "nadi", "lautoka", "nausori"}
	var seeds []string
	add := func(list *[]*process, role string, n int, listens ...string) error {
		for i := range n {
			p, err := c.newProcess(role, fmt.Sprintf("%s-%d", role, i+1), zones[i%len(zones)], listens...)
			if err != nil {
				return err
			}
			*list = append(*list, p)
			if role == "control" && len(seeds) < 3 {
				seeds = append(seeds, p.address("control"))
			}
		}
		return nil
	}
	if err := errors.Join(add(&c.controls, "control", controls, "control"), add(&c.entries, "entry", entries, "front", "ready"), add(&c.agents, "agent", len(kinds), "control")); err != nil {
		return err
	}
	for _, p := range c.processes() {
		p.settings["seeds"] = seeds
		if err := p.start(); err != nil {
			return err
		}
		p.settings["bootstrap"] = false
	}
	for i, k := range kinds {
		port, err := freePort(c.agents[i].ip)
		if err != nil {
			return err
		}
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: service, zone: zones[i%len(zones)], agent: c.agents[i].address("control"),
			address: net.JoinHostPort(c.agents[i].ip, strconv.Itoa(port)), rec: c.rec, jobs: c.jobs}
		c.workers = append(c.workers, w)
		if err := w.start(k, time.Duration(i)*heartbeatMS/time.Duration(len(kinds))*time.Millisecond); err != nil {
			return err
		}
	}
	if status := c.replace(config(1, prefix), 20*time.Second); status != http.StatusOK {
		return fmt.Errorf("the first configuration was not acknowledged: status %d", status)
	}
	for _, e := range c.entries {
		if !waitFor(15*time.Second, func() bool { return c.get("http://"+e.address("ready")+"/api/ready") == http.StatusOK }) {
			return errors.New(e.name + " is not ready")
		}
	}
	return c.warmUp()
}

// warmUp waits until each worker has reported, and until each entry serves a small
// job.
func (c *cluster) warmUp() error {
	time.Sleep((heartbeatMS + 500) * time.Millisecond)
	number := uint64(1) << 60
	for _, e := range c.entries {
		if !waitFor(15*time.Second, func() bool {
			number++
			one := c.jobs.newJob(number, 1, 10*time.Millisecond, step{CPU: 100, Mem: 16})
			status, state := c.submit(context.Background(), e, one, 1500*time.Millisecond)
			return status == http.StatusOK && state == "completed"
		}) {
			return errors.New(e.name + " serves no job")
		}
	}
	return nil
}

func (c *cluster) processes() []*process {
	var all []*process
	return append(append(append(all, c.controls...), c.entries...), c.agents...)
}

func (c *cluster) stop() {
	for _, w := range c.workers {
		if w.current() != nil {
			w.crash()
		}
	}
	for _, p := range c.processes() {
		p.mu.Lock()
		started := p.command != nil
		p.mu.Unlock()
		if started {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// config returns a configuration with a route for each prefix.
func config(version int, prefixes ...string) map[string]any {
	var routes []map[string]any
	for i, p := range prefixes {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-%d", i), "host": host, "path_prefix": p, "kind": "non_idempotent", "timeout_ms": 1500,
			"slo_ms": 1000, "priority": 0, "service": service, "max_attempts": 3, "stretch": 1.6})
	}
	return map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": false, "spare": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// replace sends a configuration to the control hosts in turn until it is
// acknowledged or refused.
func (c *cluster) replace(body map[string]any, limit time.Duration) int {
	until := time.Now().Add(limit)
	for n := 0; time.Now().Before(until); n++ {
		p := c.controls[n%len(c.controls)]
		status, _ := post(context.Background(), "http://"+p.address("control")+"/api/Config.Replace", body, time.Second)
		c.rec.logf("operator sends version %v to %s: status %d", body["version"], p.name, status)
		if status == http.StatusOK || status == http.StatusBadRequest {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

func (c *cluster) get(url string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// submit hands a best-effort job in at an entry and returns the status (0 without
// an answer) and the state.
func (c *cluster) submit(ctx context.Context, e *process, one job, budget time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	body, err := json.Marshal(map[string]any{"spec": one.Spec, "steps": one.Steps, "best_effort": true})
	if err != nil {
		return 0, ""
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address("front")+prefix+one.ID, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Skylarklane-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	c.rec.logf("client sends job %s to %s", one.ID, e.name)
	response, err := c.client.Do(r)
	if err != nil {
		c.rec.logf("client gets no answer for job %s from %s", one.ID, e.name)
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		c.rec.logf("client gets a broken answer for job %s from %s", one.ID, e.name)
		return 0, ""
	}
	c.rec.logf("client gets %d for job %s from %s: %s", response.StatusCode, one.ID, e.name, answer)
	var state struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &state)
	return response.StatusCode, state.State
}

// waitFor waits until the condition is met, and reports whether it was.
func waitFor(limit time.Duration, met func() bool) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if met() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return met()
}
