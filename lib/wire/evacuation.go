package wire

// ReasonEvacuated is the reason for which agents refuse to start tasks while
// their data centre is evacuated.
const ReasonEvacuated = "evacuated"
