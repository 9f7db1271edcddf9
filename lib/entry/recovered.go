package entry

import "skylarklane.example/lib/wire"

// applyRecovered applies the task states that a takeover has found to a new run
// and returns the tasks that have to start. It ends the run if a task has failed
// or its state is not conclusive.
func (d *dispatcher) applyRecovered(r *run, recovered []*wire.TaskStatus) []*task {
	done := make([]bool, len(r.results))
	for _, s := range recovered {
		if int(s.GetTask()) >= len(done) || done[s.GetTask()] {
			continue
		}
		switch s.GetState() {
		case wire.TaskState_TASK_STATE_NOT_STARTED:
		case wire.TaskState_TASK_STATE_DONE:
			done[s.GetTask()] = true
			r.results[s.GetTask()] = s.GetResult()
			r.unfinished--
		case wire.TaskState_TASK_STATE_FAILED:
			d.fail(r, s.GetReason())
		default:
			d.fail(r, reasonUnknown)
		}
	}
	if r.unfinished == 0 && !r.ended() {
		d.complete(r)
	}
	var tasks []*task
	for n, payload := range r.spec.GetPayloads() {
		if done[n] {
			continue
		}
		class := sizeClass(payload)
		tasks = append(tasks, &task{run: r, number: uint32(n), class: class, expected: r.kind.expected(class)})
	}
	return tasks
}
