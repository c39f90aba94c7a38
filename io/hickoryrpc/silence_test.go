package hickoryrpc

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// TestCallUntilSilent guards against a call that is given up although its answer keeps
// arriving over a narrow link, and against one that waits for an answer that has broken
// off.
func TestCallUntilSilent(t *testing.T) {
	const silence = 200 * time.Millisecond
	for _, stalls := range []bool{false, true} {
		t.Run(fmt.Sprint("stalls ", stalls), func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			ended := make(chan struct{})
			go func(ctx context.Context) {
				defer close(ended)
				conn, err := listener.Accept()
				if err == nil {
					answerSlowly(ctx, conn, silence/4, stalls)
				}
			}(t.Context())
			client := NewClient(WithoutCompression())
			var reply hickorymessage.PullReply
			err = client.CallUntilSilent(t.Context(), silence, hickoryid.Endpoint(listener.Addr().String()), "relay.Pull", hickorymessage.PullRequest{}, &reply)
			is.Equal(err != nil, stalls)
			is.NoErr(client.Close())
			is.NoErr(listener.Close())
			<-ended
		})
	}
}

// answerSlowly answers the first call on a connection in small parts. If it stalls, the
// last one is missing.
func answerSlowly(ctx context.Context, conn net.Conn, pause time.Duration, stalls bool) {
	defer conn.Close()
	request := make([]byte, 4096)
	if _, err := conn.Read(request); err != nil {
		return
	}
	answer := `{"id":0,"error":null,"result":{"team":"` + strings.Repeat("a", 20) + `","version":7,"content":"","deleted":false,"headers":[]}}` + "\n"
	const parts = 12
	size := len(answer)/parts + 1
	for i := 0; i < len(answer); i += size {
		if stalls && i+size >= len(answer) {
			_, _ = conn.Read(request) // until the caller gives up
			return
		}
		if _, err := conn.Write([]byte(answer[i:min(i+size, len(answer))])); err != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	_, _ = conn.Read(request)
}

// slowReply takes longer than the peer may be silent to be decoded.
type slowReply struct {
	wait time.Duration
}

// UnmarshalJSON waits.
func (r *slowReply) UnmarshalJSON([]byte) error {
	<-time.After(r.wait)
	return nil
}

// TestSlowDecoding guards against a call that is given up while this process decodes its
// answer, which may have thousands of routes, with a small share of a processor.
func TestSlowDecoding(t *testing.T) {
	is := is.New(t)
	server, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(server.Register("relay", versionService{}))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- server.Serve(ctx) }(ctx)
	client := NewClient(WithoutCompression())
	const silence = 100 * time.Millisecond
	request := hickorymessage.PullRequest{Instance: "a", Team: "pagebound", Version: 7}
	is.NoErr(client.CallUntilSilent(t.Context(), silence, server.Endpoint(), "relay.Pull", request, &slowReply{wait: 3 * silence}))
	is.NoErr(client.Close())
	cancel()
	<-ended
}
