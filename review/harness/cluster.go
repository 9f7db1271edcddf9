package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"skylarklane.example/platform/standin"
)

const (
	host    = "desk.example"
	prefix  = "/check/"
	service = "sizing"
	zone    = "suva"
	// startTimeout limits how long the system may take to serve its first job.
	startTimeout = 30 * time.Second
	// hangUpGap is the time over which processes get SIGHUP (gap_s).
	hangUpGap = 2 * time.Second
)

// Bounds of the settings, as on the pages of the sizing desk.
const (
	contact     = 3000 * time.Millisecond
	ackTime     = 4000 * time.Millisecond
	configApply = 2000 * time.Millisecond
	cancelTime  = 3000 * time.Millisecond
	stopTime    = 50 * time.Millisecond
	grace       = 6 * time.Second
)

// process is one role of the system, with a loopback address of its own.
type process struct {
	role     string
	ip       string
	file     string
	settings map[string]any
	command  *exec.Cmd
	exited   chan struct{}
}

// cluster is a small deployment: three control hosts, two entries and two
// agents, each with a worker.
type cluster struct {
	folder   string
	checker  *standin.Checker
	controls []*process
	entries  []*process
	agents   []*process
	workers  []*standin.Worker
	operator *standin.Operator
	caller   *standin.Caller
}

// newCluster starts the system and waits until each entry serves.
func newCluster(ctx context.Context, folder string) (*cluster, error) {
	c := &cluster{folder: folder, checker: standin.NewChecker()}
	var err error
	add := func(list *[]*process, role string, n int, names ...string) {
		for range n {
			var p *process
			if p, err = c.newProcess(role, names...); err != nil {
				return
			}
			*list = append(*list, p)
		}
	}
	add(&c.controls, "control", 3, "control")
	add(&c.entries, "entry", 2, "front", "ready")
	add(&c.agents, "agent", 2, "control")
	if err != nil {
		return c, err
	}
	var seeds, fronts []string
	for _, p := range c.controls {
		seeds = append(seeds, p.listen("control"))
	}
	for _, p := range c.entries {
		fronts = append(fronts, p.listen("front"))
	}
	for _, p := range c.processes() {
		p.settings["seeds"] = seeds
		if err := p.start(); err != nil {
			return c, err
		}
	}
	for i, agent := range c.agents {
		w, err := standin.NewWorker(standin.WorkerConfig{
			ID: "i-" + strconv.Itoa(i), Service: service, Zone: zone, IP: agent.ip,
			Capacity: standin.Resources{CPU: 8000, MemoryMB: 4096}, Agent: agent.listen("control"), Seed: uint64(i),
		}, c.checker)
		if err != nil {
			return c, err
		}
		c.workers = append(c.workers, w)
	}
	c.operator = standin.NewOperator(seeds...)
	c.caller = standin.NewCaller(c.checker, host, prefix, fronts...)
	body, err := json.Marshal(standin.NewConfig(1, host, service, prefix))
	if err != nil {
		return c, err
	}
	if status := c.operator.Replace(ctx, body, 0); status != 200 {
		return c, fmt.Errorf("the first configuration got status %d", status)
	}
	return c, c.waitServed(ctx)
}

// waitServed waits until a small job is completed at each entry.
func (c *cluster) waitServed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range c.entries {
		for n := uint64(1); ; n++ {
			attempt, end := context.WithTimeout(ctx, 2*time.Second)
			result := c.caller.SubmitOnce(attempt, standin.NewJob(uint64(i+1)<<32+n, 1, 10*time.Millisecond), i)
			end()
			if result.Status == 200 && result.State == "completed" {
				break
			}
			if ctx.Err() != nil {
				return errors.New("the system serves no job")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (c *cluster) processes() []*process {
	var all []*process
	all = append(all, c.controls...)
	all = append(all, c.entries...)
	return append(all, c.agents...)
}

// stop ends all processes and stand-ins.
func (c *cluster) stop() {
	for _, w := range c.workers {
		w.Crash()
	}
	for _, p := range c.processes() {
		p.kill()
	}
}

// newProcess prepares a process with an address and ports of its own.
func (c *cluster) newProcess(role string, names ...string) (*process, error) {
	n := len(c.processes()) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%256, n)
	listen := map[string]string{}
	for _, name := range append(names, "internal") {
		address, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		listen[name] = address
	}
	_, port, err := net.SplitHostPort(listen["internal"])
	if err != nil {
		return nil, err
	}
	delete(listen, "internal")
	internal, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(c.folder, strconv.Itoa(n))
	data := filepath.Join(folder, "data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return nil, err
	}
	settings := map[string]any{
		"node_name": role + "-" + strconv.Itoa(n), "role": role, "machine_class": "front", "ip": ip, "zone": zone, "region": "viti-levu",
		"zones": map[string]string{zone: "viti-levu"}, "listen": listen, "internal_port_range": []int{internal, internal},
		"bootstrap": true, "loss_counts": role == "control", "discovery": "local", "entry": "vip", "heartbeat_ms": 1500,
		"limits":          map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128},
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"config_mode":     "highest", "command_mode": "dispatch",
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": contact.Milliseconds(), "ack_ms": ackTime.Milliseconds(), "catch_up_s": 4,
			"drain_ms": 2000, "grace_s": grace.Seconds(), "loss_slack_ms": 200, "config_apply_ms": configApply.Milliseconds(), "rollback_slack_ms": 250,
			"max_stretch_ms": 5000, "recover_s": 12, "hold_max_ms": 1000, "stop_ms": stopTime.Milliseconds(), "gang_ms": 3000,
			"cancel_ms": cancelTime.Milliseconds(), "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far_x": 1.5,
			"save_s": 1, "restore_ms": 250, "notice_ms": 4500, "move_s": 1.5, "upkeep_s": 2, "require_fencing": true, "lease_ms": 3000,
			"thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000, "retransmit_ms": 1300,
		},
	}
	if role == "control" {
		settings["data_dir"] = data
	}
	return &process{role: role, ip: ip, file: filepath.Join(folder, "local.json"), settings: settings}, nil
}

// freeAddress returns the IP with a port that is free on it.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (p *process) listen(name string) string {
	return p.settings["listen"].(map[string]string)[name]
}

// start writes the settings file and starts the role with the command of the
// deploy file.
func (p *process) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	p.settings["bootstrap"] = false
	log, err := os.OpenFile(filepath.Join(filepath.Dir(p.file), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command("target/platform", p.role)
	p.command.Env = append(os.Environ(), "SKYLARKLANE_CONFIG="+p.file)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go p.run(p.command, p.exited)
	return nil
}

// run waits for the process to end.
func (p *process) run(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait()
	close(exited)
}

// writeSettings writes the settings file.
func (p *process) writeSettings() error {
	b, err := json.MarshalIndent(p.settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.file, b, 0o600)
}

func (p *process) signal(s syscall.Signal) {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace period, and waits for the
// end of the process.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(grace):
		p.kill()
	}
}

// hangUp changes one bound in the settings files of the given processes and
// sends each SIGHUP, over hangUpGap in all.
func (c *cluster) hangUp(processes []*process, bound string, value any) error {
	for _, p := range processes {
		p.settings["bounds"].(map[string]any)[bound] = value
		if err := p.writeSettings(); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP)
		c.checker.Note(fmt.Sprintf("settings of %s: %s is %v; SIGHUP", p.settings["node_name"], bound, value))
		time.Sleep(hangUpGap / time.Duration(len(processes)))
	}
	return nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.exited == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}
