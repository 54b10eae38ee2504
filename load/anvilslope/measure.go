package anvilslope

import "context"

// Measure takes all measurements, one after the other, and returns their values. It stops at the first error, also when
// ctx is cancelled. The seed chooses the tasks that run on the workers.
func Measure(ctx context.Context, seed uint64) (*Report, error) {
	out := &Report{}
	for _, f := range []func(context.Context, uint64, *Report) error{Wire, Links, Control} {
		if err := f(ctx, seed, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}
