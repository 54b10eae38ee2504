package anvildelta

import "slices"

const (
	// maxVersions and maxBytes bound what a History keeps. A receiver with an older version gets the document whole.
	maxVersions = 8
	maxBytes    = 2 << 20
)

// History holds the newest versions of a document, and encodes the newest one for receivers that have an earlier one. The zero value is
// empty. It is not safe for concurrent use.
type History struct {
	versions []version // the newest last
	// encoded holds the differences of the newest version by the number of the earlier one.
	encoded map[int64][]byte
}

type version struct {
	number   int64
	document []byte
}

// Add adds a version with a number above those of all others. It keeps the slice.
func (h *History) Add(number int64, document []byte) {
	h.versions = append(h.versions, version{number: number, document: document})
	h.encoded = map[int64][]byte{}
	size := 0
	for i, v := range slices.Backward(h.versions) {
		size += len(v.document)
		if len(h.versions)-i > maxVersions || (size > maxBytes && i < len(h.versions)-1) {
			h.versions = slices.Delete(h.versions, 0, i+1)
			break
		}
	}
}

// Newest returns the number of the newest version; 0 when there is none.
func (h *History) Newest() int64 {
	if len(h.versions) == 0 {
		return 0
	}
	return h.versions[len(h.versions)-1].number
}

// Encode returns the newest version for a receiver that has another one, as the difference from that version, whose number it returns. It
// returns 0 with the compressed document when it doesn't have that version. There must be a version.
func (h *History) Encode(known int64) (from int64, difference []byte, err error) {
	var earlier []byte
	for _, v := range h.versions[:len(h.versions)-1] {
		if v.number == known {
			from, earlier = known, v.document
		}
	}
	if out, ok := h.encoded[from]; ok {
		return from, out, nil
	}
	if difference, err = Encode(earlier, h.versions[len(h.versions)-1].document); err != nil {
		return 0, nil, err
	}
	h.encoded[from] = difference
	return from, difference, nil
}
