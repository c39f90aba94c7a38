package hickoryfabric

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickorymessage"
)

// maxTableText bounds the text of a received configuration. 65,536 routes take 8 MiB.
const maxTableText = 64 << 20

// tableEncoder encodes updates of the configuration. The balancers that follow this one
// mostly need the same update at the same time, so it is encoded once for all of them. It
// is safe for concurrent use.
type tableEncoder struct {
	mutex sync.Mutex
	// texts has the updates to one version of the configuration.
	texts map[tableKey]string
}

// tableKey identifies an update. A version has the same routes whenever it is sent.
type tableKey struct {
	base, version int
	routesLeftOut bool
}

// encode returns an update as compressed text.
func (e *tableEncoder) encode(update *hickorymessage.TableUpdate) (string, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	key := tableKey{base: update.Base, version: update.Table.Version, routesLeftOut: update.Table.RoutesLeftOut}
	if text, known := e.texts[key]; known {
		return text, nil
	}
	text, err := encodeTable(update)
	if err != nil {
		return "", err
	}
	for other := range e.texts {
		if other.version != key.version {
			delete(e.texts, other)
		}
	}
	if e.texts == nil {
		e.texts = map[tableKey]string{}
	}
	e.texts[key] = text
	return text, nil
}

func encodeTable(update *hickorymessage.TableUpdate) (string, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return "", errors.Wrap(err, "compress a configuration")
	}
	if err := json.NewEncoder(writer).Encode(columnsOf(update)); err != nil {
		return "", errors.Wrap(err, "encode a configuration")
	}
	if err := writer.Close(); err != nil {
		return "", errors.Wrap(err, "compress a configuration")
	}
	return base64.StdEncoding.EncodeToString(compressed.Bytes()), nil
}

// decodeTable returns the update that a compressed text stands for.
func decodeTable(text string) (*hickorymessage.TableUpdate, error) {
	compressed, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(err, "decode a configuration")
	}
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxTableText+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a configuration")
	}
	if len(content) > maxTableText {
		return nil, errors.Errorf("configuration of more than %d bytes", maxTableText)
	}
	columns := &hickorymessage.TableColumns{}
	if err := json.Unmarshal(content, columns); err != nil {
		return nil, errors.Wrap(err, "decode a configuration")
	}
	return updateOf(columns)
}
