package ledger

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// FuzzRecord decodes records as members send them. None may cause a panic, and
// an accepted record must survive another round trip.
func FuzzRecord(f *testing.F) {
	whole, _ := proto.Marshal(&wire.Record{
		Key: "key", Digest: digestOf("content"), State: wire.KeyState_KEY_STATE_FINISHED, Sequence: 2, Epoch: 1,
		Holder: &wire.Incarnation{Id: "e1", Number: 1}, Outcome: &wire.Outcome{Kind: complete, Results: [][]byte{[]byte("1")}},
	})
	f.Add(whole)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m wire.Record
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		r, err := recordFromWire(&m)
		if err != nil {
			return
		}
		again, err := recordFromWire(r.wire(m.GetKey()))
		if err != nil || again.state != r.state || again.digest != r.digest || string(again.outcome) != string(r.outcome) {
			t.Fatalf("%v became %v: %v", r, again, err)
		}
	})
}

// FuzzStamp checks that no key makes the submission time later than the one
// given by the caller.
func FuzzStamp(f *testing.F) {
	f.Add("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", int64(0))
	f.Add("key", int64(1))
	f.Fuzz(func(t *testing.T, key string, submitted int64) {
		if got := SubmissionTime(key, submitted); submitted != 0 && got > submitted {
			t.Fatalf("%d is later than %d", got, submitted)
		}
	})
}
