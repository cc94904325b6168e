package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// MaxFrameBytes limits the size of one message on a connection between hosts.
const MaxFrameBytes = 4 << 20

// Limits of the decoder. MaxFrameBytes limits the encoded size; these limit the allocation and recursion that a short malformed
// message can cause.
const (
	maxElements = 1 << 17
	maxNesting  = 16
)

var (
	encMode = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		MaxNestedLevels: maxNesting, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsAllowed}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes v.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err, "encode %T", v)
	}
	if len(data) > MaxFrameBytes {
		return nil, trace.LimitExceeded("%T takes %d bytes; a message between hosts has at most %d", v, len(data), MaxFrameBytes)
	}
	return data, nil
}

// Unmarshal decodes exactly one value into v. Unknown fields are ignored, so that hosts of adjacent versions are compatible.
func Unmarshal(data []byte, v any) error {
	if len(data) > MaxFrameBytes {
		return trace.LimitExceeded("message of %d bytes; a message between hosts has at most %d", len(data), MaxFrameBytes)
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return trace.BadParameter("decode %T: %v", v, err)
	}
	return nil
}
