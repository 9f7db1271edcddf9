package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// maxConfigurationBytes limits an unpacked configuration.
const maxConfigurationBytes = 64 << 20

// Pack returns the configuration encoded and compressed.
func (x *Configuration) Pack() []byte {
	content, err := proto.Marshal(x)
	if err != nil {
		panic("wire: cannot encode a configuration: " + err.Error())
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic("wire: cannot compress: " + err.Error())
	}
	_, _ = w.Write(content) // a buffer takes all writes
	_ = w.Close()
	return packed.Bytes()
}

// UnpackConfiguration returns the configuration that Pack has packed.
func UnpackConfiguration(packed []byte) (*Configuration, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigurationBytes))
	if err != nil {
		return nil, eris.Wrap(err, "cannot decompress a configuration")
	}
	c := &Configuration{}
	if err := proto.Unmarshal(content, c); err != nil {
		return nil, eris.Wrap(err, "cannot decode a configuration")
	}
	return c, nil
}
