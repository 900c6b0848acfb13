package intake

import (
	"errors"
	"io"
)

// The blocks of a body grow from minBlock to maxBlock.
const (
	minBlock = 1 << 10
	maxBlock = 16 << 10
)

// Blocks is a body as it was received. Unlike the one buffer of [io.ReadAll] it never
// copies what it holds to grow.
type Blocks struct {
	blocks [][]byte
	size   int
}

// Read reads a body to its end.
func Read(r io.Reader) (*Blocks, error) {
	b := &Blocks{}
	for {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == cap(b.blocks[last]) {
			b.blocks = append(b.blocks, make([]byte, 0, min(max(b.size, minBlock), maxBlock)))
			last++
		}
		block := b.blocks[last]
		n, err := r.Read(block[len(block):cap(block)])
		b.blocks[last] = block[:len(block)+n]
		b.size += n
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// AppendTo appends the body to dst and drops the blocks.
func (b *Blocks) AppendTo(dst []byte) []byte {
	for _, block := range b.blocks {
		dst = append(dst, block...)
	}
	b.blocks = nil
	return dst
}

// Size returns the number of bytes of the body.
func (b *Blocks) Size() int { return b.size }
