package anviltable

import (
	"encoding/json"

	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilwire"
)

// parseInstances decodes the content of the platform's registry. Each entry is decoded by itself, so that one that another program
// left there doesn't hide the others; it also returns how many can't be decoded.
func parseInstances(data []byte) (list []anvilcontrol.Registration, unreadable int, err error) {
	var in struct {
		List []json.RawMessage `json:"list"`
	}
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, 0, err
	}
	list = make([]anvilcontrol.Registration, 0, len(in.List))
	for _, text := range in.List {
		var i anvilwire.Instance
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, &i); err != nil {
			unreadable++
			continue
		}
		list = append(list, anvilcontrol.NewRegistration(i.GetId(), i.GetKind(), i.GetAddr(), i.GetDomain(), i.GetRegion(),
			i.GetPool(), i.GetState() == anvilcodec.Leaving, anvilcodec.ParseSize(i.GetSize())))
	}
	return list, unreadable, nil
}
