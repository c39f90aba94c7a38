package hickorysocket

import (
	"context"
	"maps"
	"net"
	"slices"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryring"
)

// maxPaths limits the number of new paths. The same limit applies to kept paths.
const maxPaths = 256

// path is a second socket to send from. Its source port differs from that of the
// first socket, so devices that tell flows apart by their ports may forward its
// packets along another route. A path that is opened for one peer is new while only
// probes are sent from it, and kept once all data for the peer is sent from it.
type path struct {
	conn *net.UDPConn
	// ended delivers one value when the goroutine that receives on conn has ended;
	// close receives it.
	ended chan struct{}
}

// pathMap holds the paths of peers, at most one for each.
type pathMap map[hickorymodel.Endpoint]*path

// OpenPath opens a new path for a peer, unless the peer has a new path already.
// Datagrams received on it are put into the ring. It fails when maxPaths new paths are
// open or no socket can be opened.
func (s *Socket) OpenPath(ctx context.Context, peer hickorymodel.Endpoint, ring *hickoryring.FrameRing) error {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	if s.newPaths[peer] != nil {
		return nil
	}
	if len(s.newPaths) >= maxPaths {
		return errors.Errorf("open path to %s: %d new paths are open already", peer, len(s.newPaths))
	}
	p, err := s.openPath(ctx, ring)
	if err != nil {
		return errors.Wrapf(err, "open path to %s", peer)
	}
	s.newPaths[peer] = p
	return nil
}

// openPath opens a second socket on the address of the first one, with a goroutine
// that receives on it. The caller holds pathMutex.
func (s *Socket) openPath(ctx context.Context, ring *hickoryring.FrameRing) (*path, error) {
	if s.closed {
		return nil, errors.Wrapf(net.ErrClosed, "open second socket on the address of %s", s.endpoint)
	}
	local := hickorymodel.Endpoint{Address: s.endpoint.Address}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local.AddrPort()))
	if err != nil {
		return nil, errors.Wrapf(err, "open second socket on the address of %s", s.endpoint)
	}
	p := &path{conn: conn, ended: make(chan struct{}, 1)}
	go func(ctx context.Context) {
		// The context here is never cancelled, so receiveOn returns an error only after
		// close has closed the socket.
		_ = s.receiveOn(ctx, conn, ring)
		p.ended <- struct{}{}
	}(context.WithoutCancel(ctx))
	return p, nil
}

// SendOnNewPath writes one frame from the new path of its peer. Without a new path it
// does nothing.
func (s *Socket) SendOnNewPath(frame hickoryring.Frame) {
	s.pathMutex.Lock()
	p := s.newPaths[frame.Peer]
	s.pathMutex.Unlock()
	if p != nil {
		s.writeFrom(p.conn, frame)
	}
}

// KeepPath turns the new path of a peer into its kept path, from which all frames for
// the peer are sent from now on, and closes the kept path that it replaces. When
// maxPaths other peers have kept paths, the one that was kept first is closed and its
// peer uses the default path again. Without a new path KeepPath does nothing.
func (s *Socket) KeepPath(peer hickorymodel.Endpoint) {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	p := s.newPaths[peer]
	if p == nil {
		return
	}
	delete(s.newPaths, peer)
	updatedPaths := maps.Clone(*s.keptPaths.Load())
	replacedPaths := []*path{updatedPaths[peer]}
	s.keptOrder = slices.DeleteFunc(s.keptOrder, func(e hickorymodel.Endpoint) bool { return e == peer })
	if len(s.keptOrder) >= maxPaths {
		oldest := s.keptOrder[0]
		s.keptOrder = s.keptOrder[1:]
		replacedPaths = append(replacedPaths, updatedPaths[oldest])
		delete(updatedPaths, oldest)
	}
	updatedPaths[peer] = p
	s.keptOrder = append(s.keptOrder, peer)
	s.keptPaths.Store(&updatedPaths)
	for _, old := range replacedPaths {
		old.close()
	}
}

// DropPath closes the new path of a peer.
func (s *Socket) DropPath(peer hickorymodel.Endpoint) {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	s.newPaths[peer].close()
	delete(s.newPaths, peer)
}

// closePaths closes all paths and waits until their receiving goroutines have ended.
// No path can be opened afterwards.
func (s *Socket) closePaths() {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	s.closed = true
	for _, paths := range []pathMap{s.newPaths, *s.keptPaths.Load()} {
		for _, p := range paths {
			p.close()
		}
	}
	s.newPaths = pathMap{}
	s.keptPaths.Store(&pathMap{})
	s.defaultPath.Swap(nil).close()
	s.previousPath.close()
	s.previousPath = nil
}

// close closes the socket and waits until its receiving goroutine has ended. It does
// nothing on a nil path.
func (p *path) close() {
	if p == nil {
		return
	}
	_ = p.conn.Close()
	<-p.ended
}
