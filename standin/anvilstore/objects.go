package anvilstore

import "anvilhold.org/lib/anvilerror"

// Limits of the object store in bytes: MaxObject for one object, maxObjects for all together.
const (
	MaxObject  = 4 << 20
	maxObjects = 512 << 20 // keeps the stand-in well below the memory of a test machine that it shares with others
)

// Objects is an object store: byte strings under names of 1 to MaxKey bytes.
type Objects struct {
	data  map[string][]byte
	total int
}

// NewObjects returns an empty store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Put writes or replaces an object and keeps data, which the caller must not change. It returns an error when the name is
// invalid, the object is larger than MaxObject or the store is full.
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

// Get returns an object, which the caller must not change, or an error with code Missing.
func (o *Objects) Get(name string) ([]byte, error) {
	data, ok := o.data[name]
	if !ok {
		return nil, anvilerror.Refuse(anvilerror.Missing, "no such object")
	}
	return data, nil
}

// Delete deletes an object, if it exists.
func (o *Objects) Delete(name string) {
	o.total -= len(o.data[name])
	delete(o.data, name)
}
