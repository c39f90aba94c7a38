package hickoryexchange

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickoryrequest"
	"hickoryworks/schema/hickorymessage"
)

// magic is the start of each datagram of a request or a response. The JSON text of
// the part follows it.
var magic = []byte("HWR1")

// EncodeRequest returns the datagram of one part of a request.
func EncodeRequest(send hickoryrequest.OutgoingPart) ([]byte, error) {
	part := send.Part
	part.Body = base64.StdEncoding.EncodeToString(send.Body)
	return encode(part)
}

// EncodeResponse returns the datagram of one part of a response.
func EncodeResponse(part hickorymessage.ResponsePart, body []byte) ([]byte, error) {
	part.Body = base64.StdEncoding.EncodeToString(body)
	return encode(part)
}

func encode(message any) ([]byte, error) {
	text, err := json.Marshal(message)
	return append(append([]byte(nil), magic...), text...), errors.Wrap(err, "encode part of a request or response")
}

// DecodeRequest decodes one part of a request from a caller's datagram. It does not
// set Flow and CertainSince.
func DecodeRequest(payload []byte) (hickoryrequest.Part, error) {
	var message hickorymessage.RequestPart
	if err := decode(payload, &message); err != nil {
		return hickoryrequest.Part{}, err
	}
	body, err := base64.StdEncoding.DecodeString(message.Body)
	if err != nil {
		return hickoryrequest.Part{}, errors.Wrap(err, "decode request body")
	}
	return hickoryrequest.Part{
		Request:    message.Request,
		Idempotent: message.Idempotent,
		Attempt:    message.Attempt,
		Index:      message.Part,
		Count:      message.Parts,
		Remaining:  time.Duration(message.RemainingMillis) * time.Millisecond,
		Age:        time.Duration(message.AgeMillis) * time.Millisecond,
		Cancel:     message.Cancel,
		Body:       body,
	}, nil
}

// DecodeResponse decodes one part of a response and its body from a datagram.
func DecodeResponse(payload []byte) (hickorymessage.ResponsePart, []byte, error) {
	var message hickorymessage.ResponsePart
	if err := decode(payload, &message); err != nil {
		return message, nil, err
	}
	body, err := base64.StdEncoding.DecodeString(message.Body)
	return message, body, errors.Wrap(err, "decode response body")
}

func decode(payload []byte, message json.Unmarshaler) error {
	if !bytes.HasPrefix(payload, magic) {
		return errors.New("decode part of a request or response: datagram does not start with HWR1")
	}
	return errors.Wrap(message.UnmarshalJSON(payload[len(magic):]), "decode part of a request or response")
}
