package hickoryrpc_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// echoService answers pull requests with what they ask for.
type echoService struct {
	// unblock is closed when Block may answer.
	unblock chan struct{}
	// callStarted receives one value for each call of Block; it may be nil.
	callStarted chan struct{}
}

// Pull answers with the team and the version of the request.
func (e *echoService) Pull(request hickorymessage.PullRequest, reply *hickorymessage.PullReply) error {
	reply.Team = request.Team
	reply.Version = request.Version
	return nil
}

// Block answers as Pull does once unblock is closed.
func (e *echoService) Block(request hickorymessage.PullRequest, reply *hickorymessage.PullReply) error {
	if e.callStarted != nil {
		e.callStarted <- struct{}{}
	}
	<-e.unblock
	reply.Team = request.Team
	reply.Version = request.Version
	return nil
}

// start serves a service until the test ends.
func start(t *testing.T, service *echoService) *hickoryrpc.Server {
	is := is.New(t)
	server, err := hickoryrpc.Listen("127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(server.Register("relay", service))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- server.Serve(ctx) }(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return server
}

// TestCallAnswers guards against calls whose reply doesn't arrive and against bytes
// that aren't counted.
func TestCallAnswers(t *testing.T) {
	is := is.New(t)
	server := start(t, &echoService{})
	client := hickoryrpc.NewClient()
	defer client.Close()
	for range 3 {
		var reply hickorymessage.PullReply
		request := hickorymessage.PullRequest{Instance: "a", Team: "pagebound", Version: 7}
		is.NoErr(client.Call(t.Context(), server.Endpoint(), "relay.Pull", request, &reply))
		is.Equal(reply.Team, hickoryid.TeamName("pagebound"))
		is.Equal(reply.Version, hickoryid.SectionVersion(7))
	}
	is.True(client.Meter().Sent() > 0)
	is.True(client.Meter().Received() > 0)
}

// TestCallRefusesInvalidMessage guards against a message that violates its schema
// and reaches a method all the same.
func TestCallRefusesInvalidMessage(t *testing.T) {
	is := is.New(t)
	server := start(t, &echoService{})
	client := hickoryrpc.NewClient()
	defer client.Close()
	var reply hickorymessage.PullReply
	request := hickorymessage.PullRequest{Instance: "Not Valid", Team: "pagebound"}
	is.True(client.Call(t.Context(), server.Endpoint(), "relay.Pull", request, &reply) != nil)
}

// TestCallEndsWithContext guards against a call that doesn't end when its context
// does, because the peer received the request and never answers.
func TestCallEndsWithContext(t *testing.T) {
	is := is.New(t)
	service := &echoService{unblock: make(chan struct{})}
	server := start(t, service)
	client := hickoryrpc.NewClient()
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var reply hickorymessage.PullReply
	request := hickorymessage.PullRequest{Instance: "a", Team: "pagebound"}
	is.True(client.Call(ctx, server.Endpoint(), "relay.Block", request, &reply) != nil)
	close(service.unblock)
}

// TestStopAnswersBegunCalls guards against a stop of the server that interrupts calls
// in progress: a call that the server has begun to handle must get its reply.
func TestStopAnswersBegunCalls(t *testing.T) {
	is := is.New(t)
	service := &echoService{unblock: make(chan struct{}), callStarted: make(chan struct{}, 1)}
	server, err := hickoryrpc.Listen("127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(server.Register("relay", service))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- server.Serve(ctx) }(ctx)
	client := hickoryrpc.NewClient()
	defer client.Close()
	answered := make(chan error, 1)
	go func(ctx context.Context) {
		var reply hickorymessage.PullReply
		request := hickorymessage.PullRequest{Instance: "a", Team: "pagebound", Version: 1}
		answered <- client.Call(ctx, server.Endpoint(), "relay.Block", request, &reply)
	}(t.Context())
	<-service.callStarted
	cancel()
	for err == nil { // until the server has closed its listener
		var conn net.Conn
		if conn, err = net.Dial("tcp", string(server.Endpoint())); err == nil {
			conn.Close()
		}
	}
	close(service.unblock)
	is.NoErr(<-answered)
	<-ended
}
