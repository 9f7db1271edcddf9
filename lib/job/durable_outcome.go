package job

import "skylarklane.example/lib/wire"

// StoreState classifies the result of storing a durable job.
type StoreState int

// The results of storing a durable job.
const (
	// Stored means that the job is stored, and is run until it ends.
	Stored StoreState = iota + 1
	// NotStored means that the job is certainly not stored and will never run.
	NotStored
	// Unclear means that it is not known whether the job is stored.
	Unclear
)

// StoreOutcome is the result of submitting a durable job.
type StoreOutcome struct {
	State  StoreState
	Reason string
}

const (
	// reasonUnclear means that the job may be stored or not.
	reasonUnclear = "storeUnclear"
	// reasonNotStored means that the store certainly did not store the job.
	reasonNotStored = "notStored"
	// ReasonOtherContent means that another job with the same id but
	// different content exists.
	ReasonOtherContent = "otherContent"
)

// toKeptJob returns the stored form of a job.
func toKeptJob(j Job) *wire.KeptJob {
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
