package ledger

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// FuzzRecord decodes records from arbitrary messages. None may cause a panic,
// and an accepted record must stay the same when it is encoded and decoded
// again.
func FuzzRecord(f *testing.F) {
	valid, _ := proto.Marshal(&wire.Record{
		Key: "key", Digest: digestOf("content"), State: wire.KeyState_KEY_STATE_FINISHED, Sequence: 2, Epoch: 1,
		Holder: &wire.Incarnation{Id: "e1", Number: 1}, Outcome: &wire.Outcome{Kind: complete, Results: [][]byte{[]byte("1")}},
	})
	f.Add(valid)
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
		decoded, err := recordFromWire(r.wire(m.GetKey()))
		if err != nil || decoded.state != r.state || decoded.digest != r.digest || string(decoded.outcome) != string(r.outcome) {
			t.Fatalf("%v became %v: %v", r, decoded, err)
		}
	})
}

// FuzzSubmissionTime checks that the submission time is never later than the one
// given by the caller, whatever the key.
func FuzzSubmissionTime(f *testing.F) {
	f.Add("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", int64(0))
	f.Add("key", int64(1))
	f.Fuzz(func(t *testing.T, key string, submitted int64) {
		if got := SubmissionTime(key, submitted); submitted != 0 && got > submitted {
			t.Fatalf("%d is later than %d", got, submitted)
		}
	})
}
