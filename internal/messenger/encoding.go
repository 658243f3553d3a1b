package messenger

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"
)

// Bounds of a decoded message. Without them a malformed message could exhaust memory or
// the stack before the decoder detects that it is malformed.
const (
	maxNestingDepth      = 16    // levels; the messages of this package nest 5 levels deep
	maxContainerElements = 65536 // per array or map; the longest list expected, a list of jobs, has 19,000 elements
)

// MessageTooLargeError reports that an encoded message is larger than MaxMessageBytes.
type MessageTooLargeError struct {
	Size int // in bytes
}

func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("message has %d bytes, the bound is %d", e.Size, MaxMessageBytes)
}

// MalformedMessageError reports that a message is not well-formed msgpack within the bounds.
type MalformedMessageError struct {
	Offset int // in bytes
	Reason string
}

func (e *MalformedMessageError) Error() string {
	return fmt.Sprintf("malformed message at byte %d: %s", e.Offset, e.Reason)
}

// encoding implements drpc.Encoding.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	if len(b) > MaxMessageBytes {
		return nil, &MessageTooLargeError{Size: len(b)}
	}
	return b, nil
}

// Unmarshal implements drpc.Encoding. Unknown fields are skipped, so that hosts that run
// different versions can exchange messages.
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	if len(b) > MaxMessageBytes {
		return &MessageTooLargeError{Size: len(b)}
	}
	if err := checkStructure(b); err != nil {
		return err
	}
	if err := msgpack.NewDecoder(bytes.NewReader(b)).Decode(m); err != nil {
		return fmt.Errorf("decode %T: %w", m, err)
	}
	return nil
}

// checkStructure returns an error unless b is exactly one msgpack value within the bounds.
// It makes one pass over b and does not recurse.
func checkStructure(b []byte) error {
	remaining := make([]int, 1, maxNestingDepth+1) // values still to be read, by nesting level
	remaining[0] = 1
	offset := 0
	for len(remaining) > 0 {
		top := len(remaining) - 1
		if remaining[top] == 0 {
			remaining = remaining[:top]
			continue
		}
		remaining[top]--
		h, err := readHeader(b, offset)
		if err != nil {
			return err
		}
		offset += h.bytes
		if h.values == 0 {
			continue
		}
		if len(remaining) > maxNestingDepth {
			return &MalformedMessageError{Offset: offset, Reason: "nested too deep"}
		}
		remaining = append(remaining, h.values)
	}
	if offset != len(b) {
		return &MalformedMessageError{Offset: offset, Reason: fmt.Sprintf("%d bytes after the message", len(b)-offset)}
	}
	return nil
}

// valueHeader describes one value. Elements of an array or map are values of their own.
type valueHeader struct {
	bytes  int // size, without contained values
	values int // number of contained values; keys of a map count too
}

// readHeader reads the header of the value that starts at b[offset].
func readHeader(b []byte, offset int) (valueHeader, error) {
	if offset >= len(b) {
		return valueHeader{}, &MalformedMessageError{Offset: offset, Reason: "ends early"}
	}
	c := b[offset]
	switch {
	case c <= 0x7f || c >= 0xe0: // small integers
		return valueHeader{bytes: 1}, nil
	case c <= 0x8f: // small map
		return valueHeader{bytes: 1, values: 2 * int(c&0x0f)}, nil
	case c <= 0x9f: // small array
		return valueHeader{bytes: 1, values: int(c & 0x0f)}, nil
	case c <= 0xbf: // short string
		return headerWithData(b, offset, 1, int(c&0x1f))
	}
	return readTypedHeader(b, offset)
}

// readTypedHeader reads the header of a value whose first byte, from 0xc0 to 0xdf, is its
// type.
func readTypedHeader(b []byte, offset int) (valueHeader, error) {
	switch c := b[offset]; c {
	case 0xc0, 0xc2, 0xc3: // nil, false, true
		return valueHeader{bytes: 1}, nil
	case 0xc4, 0xc5, 0xc6: // binary
		return readLengthPrefixed(b, offset, 1<<(c-0xc4), 0)
	case 0xc7, 0xc8, 0xc9: // extensions, with one more byte for the extension type
		return readLengthPrefixed(b, offset, 1<<(c-0xc7), 1)
	case 0xca, 0xcb: // floats
		return headerWithData(b, offset, 1, 4<<(c-0xca))
	case 0xcc, 0xcd, 0xce, 0xcf: // unsigned integers
		return headerWithData(b, offset, 1, 1<<(c-0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3: // signed integers
		return headerWithData(b, offset, 1, 1<<(c-0xd0))
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // extensions of fixed size
		return headerWithData(b, offset, 2, 1<<(c-0xd4))
	case 0xd9, 0xda, 0xdb: // strings
		return readLengthPrefixed(b, offset, 1<<(c-0xd9), 0)
	case 0xdc, 0xdd: // arrays
		return readContainer(b, offset, 2<<(c-0xdc), 1)
	case 0xde, 0xdf: // maps
		return readContainer(b, offset, 2<<(c-0xde), 2)
	}
	return valueHeader{}, &MalformedMessageError{Offset: offset, Reason: fmt.Sprintf("unknown type %#x", b[offset])}
}

// headerWithData describes a value with headerBytes bytes of header and dataBytes bytes of
// data, or returns an error if b ends earlier.
func headerWithData(b []byte, offset, headerBytes, dataBytes int) (valueHeader, error) {
	if dataBytes > len(b)-offset-headerBytes {
		return valueHeader{}, &MalformedMessageError{Offset: offset, Reason: "ends early"}
	}
	return valueHeader{bytes: headerBytes + dataBytes}, nil
}

// readLength reads the length after the type byte: an unsigned integer of 1, 2 or 4 bytes.
func readLength(b []byte, offset, width int) (int, error) {
	if _, err := headerWithData(b, offset, 1, width); err != nil {
		return 0, err
	}
	var padded [4]byte
	copy(padded[4-width:], b[offset+1:offset+1+width])
	return int(binary.BigEndian.Uint32(padded[:])), nil
}

// readLengthPrefixed reads the header of a value whose data follows its length and
// extraHeaderBytes.
func readLengthPrefixed(b []byte, offset, width, extraHeaderBytes int) (valueHeader, error) {
	n, err := readLength(b, offset, width)
	if err != nil {
		return valueHeader{}, err
	}
	return headerWithData(b, offset, 1+width+extraHeaderBytes, n)
}

// readContainer reads the header of an array or map.
func readContainer(b []byte, offset, width, valuesPerElement int) (valueHeader, error) {
	n, err := readLength(b, offset, width)
	if err != nil {
		return valueHeader{}, err
	}
	if n > maxContainerElements {
		return valueHeader{}, &MalformedMessageError{Offset: offset, Reason: fmt.Sprintf("%d elements, the bound is %d", n, maxContainerElements)}
	}
	return valueHeader{bytes: 1 + width, values: valuesPerElement * n}, nil
}
