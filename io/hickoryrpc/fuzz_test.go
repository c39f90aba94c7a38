package hickoryrpc_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"hickoryworks/schema/hickorymessage"
)

// FuzzMessages guards against panics in the decoders of the control messages, and
// against messages that change when they are decoded and encoded again. Input that
// a decoder rejects passes; net/rpc answers it with an error.
func FuzzMessages(f *testing.F) {
	for _, text := range []string{
		`{}`, `null`, `[]`, `{"sections":[]}`, `{"sections":null}`, `{"versions":{"a":1}}`,
		`{"digest":"00","starting":true}`, `{"sections":[{"team":"a","version":1,"body":"x"}]}`,
		`{"current":true,"ageMillis":1,"state":{"revision":9,"since":3,"upstreams":[],"removed":[{"id":"u-1","revision":8}],"zones":[]}}`,
		`{"sender":"10.0.0.1:1","zone":"a","revision":1,"version":2,"waitMillis":250}`, `{"peers":[],"members":[{"endpoint":"10.0.0.1:1","zone":"a"}]}`,
		`{"sections":[{"team":"a","version":-1}]}`, `{"buckets":[1e99]}`, `{"teams":["a"]`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkMessage(t, data, &hickorymessage.Beacon{}, &hickorymessage.Beacon{})
		checkMessage(t, data, &hickorymessage.DigestRequest{}, &hickorymessage.DigestRequest{})
		checkMessage(t, data, &hickorymessage.DigestReply{}, &hickorymessage.DigestReply{})
		checkMessage(t, data, &hickorymessage.PullRequest{}, &hickorymessage.PullRequest{})
		checkMessage(t, data, &hickorymessage.PullReply{}, &hickorymessage.PullReply{})
		checkMessage(t, data, &hickorymessage.PushRequest{}, &hickorymessage.PushRequest{})
		checkMessage(t, data, &hickorymessage.PushReply{}, &hickorymessage.PushReply{})
		checkMessage(t, data, &hickorymessage.Datagram{}, &hickorymessage.Datagram{})
		checkMessage(t, data, &hickorymessage.StateRequest{}, &hickorymessage.StateRequest{})
		checkMessage(t, data, &hickorymessage.StateReply{}, &hickorymessage.StateReply{})
		checkMessage(t, data, &hickorymessage.ChangesRequest{}, &hickorymessage.ChangesRequest{})
		checkMessage(t, data, &hickorymessage.ChangesReply{}, &hickorymessage.ChangesReply{})
	})
}

// checkMessage decodes data into message, encodes and decodes it into again, and
// fails unless both encode to the same bytes.
func checkMessage(t *testing.T, data []byte, message, again any) {
	if json.Unmarshal(data, message) != nil {
		return
	}
	first, err := json.Marshal(message)
	if err != nil {
		t.Fatalf("encode %T: %v", message, err)
	}
	if err := json.Unmarshal(first, again); err != nil {
		// The generated decoders accept null for any object, even for one with required
		// fields.
		if bytes.Contains(data, []byte("null")) {
			return
		}
		t.Fatalf("%T can't be decoded again from %s: %v", message, first, err)
	}
	second, err := json.Marshal(again)
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("%T changed from %s to %s, error %v", message, first, second, err)
	}
}
