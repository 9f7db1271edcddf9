package store

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Snapshot encodes the whole state. The snapshot of the initial state has
// length 0.
func (m *Machine) Snapshot() []byte {
	state := &wire.StoreState{Forgotten: m.forgottenCount}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		if r := m.jobs[id]; !r.ended() {
			state.Jobs = append(state.Jobs, r.toSnapshot())
		}
	}
	for _, id := range m.ended {
		state.Jobs = append(state.Jobs, m.jobs[id].toSnapshot())
	}
	return encode(state)
}

func (r *record) toSnapshot() *wire.StoredJob {
	return &wire.StoredJob{Record: r.toWire(), Digest: r.digest[:]}
}

// Restore replaces the whole state with that of a snapshot. The error is of
// kind KindSnapshot.
func (m *Machine) Restore(snapshot []byte) error {
	state := &wire.StoreState{}
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return &Error{Op: "restore", Kind: KindSnapshot, Err: eris.Wrap(err, "the store snapshot cannot be decoded")}
	}
	m.clear()
	m.forgottenCount = state.GetForgotten()
	for _, stored := range state.GetJobs() {
		r := recordFromSnapshot(stored)
		m.put(r)
		if r.ended() {
			m.ended = append(m.ended, r.id)
		}
	}
	return nil
}
