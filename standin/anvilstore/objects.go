package anvilstore

import "anvilhold.org/lib/anvilerror"

// Bounds of the object store.
const (
	MaxObject  = 4 << 20
	maxObjects = 512 << 20 // keeps the stand-in well under the memory that a test machine shares
)

// Objects holds named byte strings.
type Objects struct {
	data  map[string][]byte
	total int
}

// NewObjects returns an empty store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Put writes an object. The store keeps the slice.
func (o *Objects) Put(name string, data []byte) error {
	if err := checkKey(name); err != nil {
		return err
	}
	if len(data) > MaxObject {
		return anvilerror.Refuse(anvilerror.TooLarge, "an object must have at most 4 MiB")
	}
	total := o.total - len(o.data[name]) + len(data)
	if total > maxObjects {
		return anvilerror.Refuse(anvilerror.TooLarge, "the object store is full")
	}
	o.total = total
	o.data[name] = data
	return nil
}

// Get returns an object; the caller must not change it.
func (o *Objects) Get(name string) ([]byte, error) {
	data, ok := o.data[name]
	if !ok {
		return nil, anvilerror.Refuse(anvilerror.Missing, "no such object")
	}
	return data, nil
}

// Delete removes an object; a missing one is no error.
func (o *Objects) Delete(name string) {
	o.total -= len(o.data[name])
	delete(o.data, name)
}
