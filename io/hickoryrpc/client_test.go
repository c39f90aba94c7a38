package hickoryrpc

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// versionService answers pull requests.
type versionService struct{}

// Pull answers with the version of the request.
func (versionService) Pull(request hickorymessage.PullRequest, reply *hickorymessage.PullReply) error {
	reply.Team = request.Team
	reply.Version = request.Version
	return nil
}

// TestCallAfterRestartOfPeer guards against a peer that counts as failed although it
// runs again, because a connection that ended with its predecessor was used once more,
// and against a server that serves only compressed or only plain connections.
func TestCallAfterRestartOfPeer(t *testing.T) {
	is := is.New(t)
	server, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(server.Register("relay", versionService{}))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- server.Serve(ctx) }(ctx)
	for _, client := range []*Client{NewClient(), NewClient(WithoutCompression())} {
		callAfterClose(t, client, server)
		is.NoErr(client.Close())
	}
	cancel()
	<-ended
}

// callAfterClose calls a method three times and closes the idle connection after each,
// as when the peer has ended it.
func callAfterClose(t *testing.T, client *Client, server *Server) {
	is := is.New(t)
	for range 3 {
		var reply hickorymessage.PullReply
		request := hickorymessage.PullRequest{Instance: "a", Team: "pagebound", Version: 7}
		is.NoErr(client.Call(t.Context(), server.Endpoint(), "relay.Pull", request, &reply))
		is.Equal(reply.Version, hickoryid.SectionVersion(7))
		is.NoErr(client.idle[server.Endpoint()].Close())
	}
}
