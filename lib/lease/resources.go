package lease

import "skylarklane.example/lib/wire"

// resources are an amount of what a worker has.
type resources struct {
	cpu, memory, accelerators int64
}

func resourcesOf(r *wire.Resources) resources {
	return resources{r.GetCpuMillis(), r.GetMemoryMb(), r.GetAccelerators()}
}

func (r resources) plus(o resources) resources {
	return resources{r.cpu + o.cpu, r.memory + o.memory, r.accelerators + o.accelerators}
}

func (r resources) minus(o resources) resources {
	return resources{r.cpu - o.cpu, r.memory - o.memory, r.accelerators - o.accelerators}
}

// holds tells whether o fits into r.
func (r resources) holds(o resources) bool {
	return o.cpu <= r.cpu && o.memory <= r.memory && o.accelerators <= r.accelerators
}

// valid tells whether a task may need r.
func (r resources) valid() bool {
	return r.cpu >= 0 && r.memory >= 0 && r.accelerators >= 0
}

func (r resources) wire() *wire.Resources {
	return &wire.Resources{
		CpuMillis:    max(r.cpu, 0),
		MemoryMb:     max(r.memory, 0),
		Accelerators: max(r.accelerators, 0),
	}
}
