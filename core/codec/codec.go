// Package codec encodes the data of the replicated log and of files on disk as CBOR. Times
// keep their nanoseconds; the default of the CBOR library truncates them to seconds. Reader
// decodes the compact datagrams that nodes send each other.
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
		panic("codec: invalid encoding options: " + err.Error())
	}
	return mode
}

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) { return encoding.Marshal(v) }

// Unmarshal decodes data into the value that v points to.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
