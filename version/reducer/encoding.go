package reducer

import (
	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/decoder"
)

// Marshal encodes a version as JSON for snapshots and peers. Equal versions
// have equal encodings.
func Marshal(v *Version) (data []byte, err error) {
	defer annotator.Annotate(&err, "encode version")
	return decoder.Marshal(v)
}

// Unmarshal decodes a version that Marshal has encoded.
func Unmarshal(data []byte) (v *Version, err error) {
	defer annotator.Annotate(&err, "decode version")
	v = NewVersion()
	err = decoder.Unmarshal(data, v)
	if err != nil {
		return nil, err
	}
	return v, nil
}
