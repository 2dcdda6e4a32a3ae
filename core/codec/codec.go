// Package codec encodes what is kept in the replicated log and on disk: CBOR,
// with times to the nanosecond. The library's own default drops what is below a
// second.
//
// # Usage
//
//	data, err := codec.Marshal(v)
//	err = codec.Unmarshal(data, &v)
package codec

import "github.com/fxamacker/cbor/v2"

var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic("codec: the options are wrong: " + err.Error())
	}
	return mode
}

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) { return encoding.Marshal(v) }

// Unmarshal decodes into v, a pointer.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
