package entry

import "skylarklane.example/lib/wire"

// settle takes the tasks over that ended before, and returns those to start.
func (d *dispatcher) settle(r *run, settled []*wire.TaskStatus) []*task {
	known := make([]bool, len(r.results))
	for _, s := range settled {
		if int(s.GetTask()) >= len(known) || known[s.GetTask()] {
			continue
		}
		switch s.GetState() {
		case wire.TaskState_TASK_STATE_NOT_STARTED:
		case wire.TaskState_TASK_STATE_DONE:
			known[s.GetTask()] = true
			r.results[s.GetTask()] = s.GetResult()
			r.left--
		case wire.TaskState_TASK_STATE_FAILED:
			d.fail(r, s.GetReason())
		default:
			d.fail(r, reasonUnknown)
		}
	}
	if r.left == 0 && !r.ended() {
		d.complete(r)
	}
	var tasks []*task
	for n, payload := range r.spec.GetPayloads() {
		if known[n] {
			continue
		}
		class := sizeClass(payload)
		tasks = append(tasks, &task{run: r, number: uint32(n), class: class, expected: r.kind.expected(class)})
	}
	return tasks
}
