// Package anvildelta encodes a version of a document as the difference from an earlier one that the receiver has.
package anvildelta

import (
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictionary is the id of the earlier version in a difference.
	dictionary = 1
	// minWindow and maxWindow bound the distance in bytes up to which equal parts are found. An earlier version beyond it doesn't make
	// the difference shorter.
	minWindow = 1 << 16
	maxWindow = 1 << 23
	// maxDocument bounds the length of a decoded document in bytes.
	maxDocument = 16 << 20
)

// Encode returns the difference of a document from an earlier version. Without one, it compresses the document.
func Encode(earlier, document []byte) ([]byte, error) {
	window := 1 << bits.Len(uint(len(earlier)+len(document)))
	opts := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(min(max(window, minWindow), maxWindow)),
	}
	if len(earlier) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionary, earlier))
	}
	w, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("difference: %w", err)
	}
	return w.EncodeAll(document, nil), w.Close()
}

// Decode returns the document whose difference from an earlier version Encode has returned. It fails when the earlier version is
// another one.
func Decode(earlier, difference []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocument),
		zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(earlier) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionary, earlier))
	}
	r, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("difference: %w", err)
	}
	defer r.Close()
	out, err := r.DecodeAll(difference, nil)
	if err != nil {
		return nil, fmt.Errorf("difference: %w", err)
	}
	return out, nil
}
