package messenger

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"
)

// Bounds of a decoded message. They keep a damaged message from exhausting memory or
// the stack before the decoder notices the damage.
const (
	maxDepth    = 16    // the messages nest 5 levels deep
	maxElements = 65536 // of one array or map; 19,000 jobs are the largest list expected
)

// MessageTooLargeError says that an encoded message is over MaxMessageSize.
type MessageTooLargeError struct {
	Size int // bytes
}

func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("message has %d bytes, the bound is %d", e.Size, MaxMessageSize)
}

// MalformedError says that a message is not well-formed msgpack within the bounds.
type MalformedError struct {
	Offset int // bytes
	Reason string
}

func (e *MalformedError) Error() string {
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
	if len(b) > MaxMessageSize {
		return nil, &MessageTooLargeError{Size: len(b)}
	}
	return b, nil
}

// Unmarshal implements drpc.Encoding. Unknown fields are skipped, so that hosts of two
// versions understand each other.
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	if len(b) > MaxMessageSize {
		return &MessageTooLargeError{Size: len(b)}
	}
	if err := check(b); err != nil {
		return err
	}
	if err := msgpack.NewDecoder(bytes.NewReader(b)).Decode(m); err != nil {
		return fmt.Errorf("decode %T: %w", m, err)
	}
	return nil
}

// check reads b once, without recursion, and reports whether it is exactly one msgpack
// value within the bounds.
func check(b []byte) error {
	open := make([]int, 1, maxDepth+1) // values still expected at each level
	open[0] = 1
	at := 0
	for len(open) > 0 {
		top := len(open) - 1
		if open[top] == 0 {
			open = open[:top]
			continue
		}
		open[top]--
		h, err := header(b, at)
		if err != nil {
			return err
		}
		at += h.size
		if h.values == 0 {
			continue
		}
		if len(open) > maxDepth {
			return &MalformedError{Offset: at, Reason: "nested too deep"}
		}
		open = append(open, h.values)
	}
	if at != len(b) {
		return &MalformedError{Offset: at, Reason: fmt.Sprintf("%d bytes after the message", len(b)-at)}
	}
	return nil
}

// head describes one value: its bytes, without the values that it contains.
type head struct {
	size   int
	values int
}

// header reads the value that starts at b[at].
func header(b []byte, at int) (head, error) {
	if at >= len(b) {
		return head{}, &MalformedError{Offset: at, Reason: "ends early"}
	}
	c := b[at]
	switch {
	case c <= 0x7f || c >= 0xe0: // small numbers
		return head{size: 1}, nil
	case c <= 0x8f: // small map
		return head{size: 1, values: 2 * int(c&0x0f)}, nil
	case c <= 0x9f: // small array
		return head{size: 1, values: int(c & 0x0f)}, nil
	case c <= 0xbf: // short string
		return sized(b, at, 1, int(c&0x1f))
	}
	return longHeader(b, at)
}

// longHeader reads a value whose first byte, from 0xc0 to 0xdf, names its type.
func longHeader(b []byte, at int) (head, error) {
	switch c := b[at]; c {
	case 0xc0, 0xc2, 0xc3: // nil, false, true
		return head{size: 1}, nil
	case 0xc4, 0xc5, 0xc6: // binary
		return counted(b, at, 1<<(c-0xc4), 0)
	case 0xc7, 0xc8, 0xc9: // extension, with one byte for its type
		return counted(b, at, 1<<(c-0xc7), 1)
	case 0xca, 0xcb: // floats
		return sized(b, at, 1, 4<<(c-0xca))
	case 0xcc, 0xcd, 0xce, 0xcf: // unsigned integers
		return sized(b, at, 1, 1<<(c-0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3: // signed integers
		return sized(b, at, 1, 1<<(c-0xd0))
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // extensions of fixed size
		return sized(b, at, 2, 1<<(c-0xd4))
	case 0xd9, 0xda, 0xdb: // strings
		return counted(b, at, 1<<(c-0xd9), 0)
	case 0xdc, 0xdd: // arrays
		return container(b, at, 2<<(c-0xdc), 1)
	case 0xde, 0xdf: // maps
		return container(b, at, 2<<(c-0xde), 2)
	}
	return head{}, &MalformedError{Offset: at, Reason: fmt.Sprintf("unknown type %#x", b[at])}
}

// sized returns a value of a header and data, if b holds them.
func sized(b []byte, at, header, data int) (head, error) {
	if data > len(b)-at-header {
		return head{}, &MalformedError{Offset: at, Reason: "ends early"}
	}
	return head{size: header + data}, nil
}

// number reads an unsigned number of width 1, 2 or 4 bytes that follows the type byte.
func number(b []byte, at, width int) (int, error) {
	if _, err := sized(b, at, 1, width); err != nil {
		return 0, err
	}
	var full [4]byte
	copy(full[4-width:], b[at+1:at+1+width])
	return int(binary.BigEndian.Uint32(full[:])), nil
}

func counted(b []byte, at, width, extra int) (head, error) {
	n, err := number(b, at, width)
	if err != nil {
		return head{}, err
	}
	return sized(b, at, 1+width+extra, n)
}

func container(b []byte, at, width, perElement int) (head, error) {
	n, err := number(b, at, width)
	if err != nil {
		return head{}, err
	}
	if n > maxElements {
		return head{}, &MalformedError{Offset: at, Reason: fmt.Sprintf("%d elements, the bound is %d", n, maxElements)}
	}
	return head{size: 1 + width, values: perElement * n}, nil
}
