package anvilslope

import "context"

// Measure measures all series one after the other and returns their report. The seed determines the running tasks of the
// fleets, so that runs can be compared.
func Measure(ctx context.Context, seed uint64) (*Report, error) {
	out := &Report{}
	for _, f := range []func(context.Context, uint64, *Report) error{Wire, Links, Control} {
		if err := f(ctx, seed, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}
