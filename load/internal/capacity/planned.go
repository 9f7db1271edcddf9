package capacity

// Planned returns the size that the system is designed for, with its budget.
// Entries, tasks per job, relays and retention are design choices.
func Planned() Plan {
	return Plan{
		Workers: 1100, StartsPerSecond: 32_000, TasksPerJob: 12, Entries: 8, DataCentres: 7, ChangesPerDay: 2200, RestartsPerDay: 259,
		RelaysEach: 5, RelayInterval: 1, Retention: 600, BudgetCPU: 4.4, BudgetRSS: 32, BudgetKBSecond: 27,
	}
}
