package store

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Snapshot encodes the whole state; an empty store is empty.
func (m *Machine) Snapshot() []byte {
	state := &wire.StoreState{Forgotten: m.forgotten}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		if r := m.jobs[id]; !r.ended() {
			state.Jobs = append(state.Jobs, r.stored())
		}
	}
	for _, id := range m.ended {
		state.Jobs = append(state.Jobs, m.jobs[id].stored())
	}
	return encode(state)
}

func (r *record) stored() *wire.StoredJob {
	return &wire.StoredJob{Record: r.message(), Digest: r.digest[:]}
}

// Restore replaces the whole state by a snapshot. The error is of kind
// KindState.
func (m *Machine) Restore(snapshot []byte) error {
	state := &wire.StoreState{}
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return &Error{Op: "restore", Kind: KindState, Err: eris.Wrap(err, "the snapshot cannot be read")}
	}
	m.clear()
	m.forgotten = state.GetForgotten()
	for _, stored := range state.GetJobs() {
		r := restored(stored)
		m.put(r)
		if r.ended() {
			m.ended = append(m.ended, r.id)
		}
	}
	return nil
}
