package job

import "skylarklane.example/lib/wire"

// KeepState is what became of a job that is to be kept.
type KeepState int

// The states of a job that was handed in to be kept.
const (
	// IsKept means that the job is stored, and is run until it ends.
	IsKept KeepState = iota + 1
	// NotKept means that it surely is not stored, and never runs.
	NotKept
	// Unclear means that nobody knows whether it is stored.
	Unclear
)

// KeepOutcome is the answer to a job that is to be kept.
type KeepOutcome struct {
	State  KeepState
	Reason string
}

const (
	// reasonUnclear is why a job may be stored or not.
	reasonUnclear = "storeUnclear"
	// reasonNotStored is why one surely is not.
	reasonNotStored = "notStored"
	// ReasonOtherContent is why a job is refused whose id another one has.
	ReasonOtherContent = "otherContent"
)

// stored is the form in which a job is kept.
func stored(j Job) *wire.KeptJob {
	kept := &wire.KeptJob{
		Id:               j.ID,
		Service:          j.Service,
		Kind:             j.Kind.GetName(),
		Spec:             j.Spec,
		AcceptedAtMillis: j.Received.UnixMilli(),
	}
	for _, s := range j.Steps {
		step := &wire.KeptStep{
			Count:          s.Count,
			Need:           s.Need,
			EstimateMillis: s.Estimate.Milliseconds(),
			Label:          s.Label,
			Rack:           s.Rack,
			MaxPerWorker:   s.MaxPerWorker,
		}
		for _, before := range s.After {
			step.After = append(step.After, uint32(before))
		}
		kept.Steps = append(kept.Steps, step)
	}
	return kept
}
