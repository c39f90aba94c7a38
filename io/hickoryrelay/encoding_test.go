package hickoryrelay_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"hickoryworks/io/hickoryrelay"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// relayStandin is the RPC service of a balancer that answers with prepared replies.
type relayStandin struct {
	digest hickorymessage.DigestReply
	pull   hickorymessage.PullReply
}

// Exchange answers a digest request.
func (e *relayStandin) Exchange(_ hickorymessage.DigestRequest, reply *hickorymessage.DigestReply) error {
	*reply = e.digest
	return nil
}

// Pull answers a pull request.
func (e *relayStandin) Pull(_ hickorymessage.PullRequest, reply *hickorymessage.PullReply) error {
	*reply = e.pull
	return nil
}

// encodingCalls is the number of calls over one connection. Each differs a little
// from the one before, as those of a running balancer do.
const encodingCalls = 50

// BenchmarkEncoding prints the size of the same requests and replies in JSON and in
// gob, and that of whole calls over the compressed connections of hickoryrpc: the
// bytes of the first call and the mean of the later ones.
func BenchmarkEncoding(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	reader := hickoryid.InstanceID("balancer-0003")
	beacon := hickorymessage.Beacon{
		Instance: "balancer-0001", Region: "tt-north", InService: true, Complete: true, Fresh: true,
		ReadAgeMillis: 1234, Reader: &reader, ReadIndex: 123456,
	}
	digest := hickorymessage.DigestRequest{Beacon: beacon, Root: "0123456789abcdef"}
	withBuckets := digest
	withBuckets.Buckets = strings.Split(strings.Repeat("01234567,", 63)+"01234567", ",")
	content := hickoryrelay.Pack(strings.Repeat(sectionText, 20))
	service := &relayStandin{
		digest: hickorymessage.DigestReply{Beacon: beacon},
		pull:   hickorymessage.PullReply{Team: "pagebound", Version: 7, Size: len(content), Part: content},
	}
	pull := hickorymessage.PullRequest{Instance: "balancer-0001", Team: "pagebound", Version: 7}
	calls := []struct {
		name, method string
		request      func(i int) any
		// reply is the prepared reply; received is filled in by a call.
		reply, received any
	}{
		{"equal roots", "relay.Exchange", func(i int) any {
			service.digest.Beacon.ReadAgeMillis = 1 + i*7919%2500
			digest.Beacon.ReadAgeMillis = 1 + i*6841%2500
			return digest
		}, &service.digest, &hickorymessage.DigestReply{}},
		// The reply gives the ages of the last contacts with 833 balancers, one character
		// for each.
		{"with 833 ages", "relay.Exchange", func(int) any {
			ages := make([]byte, 833)
			for i := range ages {
				ages[i] = 'A' + byte(random.IntN(16))
			}
			text := string(ages)
			service.digest.Heard = &text
			return digest
		}, &service.digest, &hickorymessage.DigestReply{}},
		{"with buckets", "relay.Exchange", func(int) any {
			service.digest.Heard = nil
			return withBuckets
		}, &service.digest, &hickorymessage.DigestReply{}},
		{fmt.Sprintf("pull of %d bytes", len(content)), "relay.Pull", func(int) any { return pull }, &service.pull, &hickorymessage.PullReply{}},
	}
	for range b.N {
		for _, call := range calls {
			var text, binary bytes.Buffer
			printCounts(b, call.name, "json", &text, encoder(json.NewEncoder(&text).Encode, call.request, call.reply))
			printCounts(b, call.name, "gob", &binary, encoder(gob.NewEncoder(&binary).Encode, call.request, call.reply))
			meter := &meterBytes{client: hickoryrpc.NewClient()}
			printCounts(b, call.name, "compressed", meter, serveReplies(b, service, meter.client, call.method, call.request, call.received))
		}
	}
}

// byteCounter returns the number of bytes so far.
type byteCounter interface{ Len() int }

// meterBytes returns the bytes of a client's connections.
type meterBytes struct{ client *hickoryrpc.Client }

// Len returns the number of bytes sent and received.
func (m *meterBytes) Len() int {
	return int(m.client.Meter().Sent() + m.client.Meter().Received())
}

// encoder returns a function that encodes request i and the reply.
func encoder(encode func(any) error, request func(int) any, reply any) func(int) error {
	return func(i int) error {
		if err := encode(request(i)); err != nil {
			return err
		}
		return encode(reply)
	}
}

// printCounts makes encodingCalls calls and prints the bytes that count shows.
func printCounts(b *testing.B, name, encoding string, count byteCounter, call func(i int) error) {
	first := 0
	for i := range encodingCalls {
		if err := call(i); err != nil {
			b.Fatal(err)
		}
		if i == 0 {
			first = count.Len()
		}
	}
	later := (count.Len() - first) / (encodingCalls - 1)
	fmt.Printf("%-20s %-10s first %5d bytes, later %5d bytes\n", name, encoding, first, later)
}

// serveReplies starts a server with the service and returns a function that calls
// it with request i.
func serveReplies(b *testing.B, service *relayStandin, client *hickoryrpc.Client, method string, request func(int) any, reply any) func(int) error {
	server, err := hickoryrpc.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	if err := server.Register("relay", service); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	b.Cleanup(func() {
		_ = client.Close()
		cancel()
		<-ended
	})
	return func(i int) error { return client.Call(ctx, server.Endpoint(), method, request(i), reply) }
}
