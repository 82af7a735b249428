package folder

import (
	"fmt"

	"sassafraspass.dev/sassafraspass/decoder"
)

// Marshal encodes a version. Equal versions have equal encodings.
func Marshal(v *Version) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("encode version: %w", err)
		}
	}()
	return decoder.Marshal(v)
}

// Unmarshal decodes a version that Marshal encoded.
func Unmarshal(data []byte) (v *Version, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode version: %w", err)
		}
	}()
	v = NewVersion()
	err = decoder.Unmarshal(data, v)
	if err != nil {
		return nil, err
	}
	return v, nil
}
