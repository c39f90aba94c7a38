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

// maxPaths bounds the second sockets of each kind: those being tried and those
// that carry data.
const maxPaths = 256

// path is a second socket to send from. Its source port gives it
// another way through devices that tell flows apart by their ports.
type path struct {
	conn *net.UDPConn
	// ended delivers one value when the path's receiver has ended; close reads it.
	ended chan struct{}
}

// pathMap holds at most one path for each peer.
type pathMap map[hickorymodel.Endpoint]*path

// OpenPath opens a second socket for a peer, unless one is open that is not in
// use yet. What arrives on it goes into the ring.
func (s *Socket) OpenPath(ctx context.Context, peer hickorymodel.Endpoint, ring *hickoryring.FrameRing) error {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	if s.tried[peer] != nil {
		return nil
	}
	if len(s.tried) >= maxPaths {
		return errors.Errorf("open path to %s: %d paths are being tried", peer, len(s.tried))
	}
	p, err := s.openPath(ctx, ring)
	if err != nil {
		return errors.Wrapf(err, "open path to %s", peer)
	}
	s.tried[peer] = p
	return nil
}

// openPath opens a socket with its receiver. The caller holds pathMutex.
func (s *Socket) openPath(ctx context.Context, ring *hickoryring.FrameRing) (*path, error) {
	if s.closed {
		return nil, errors.Wrapf(net.ErrClosed, "open second socket beside %s", s.endpoint)
	}
	local := hickorymodel.Endpoint{Address: s.endpoint.Address}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local.AddrPort()))
	if err != nil {
		return nil, errors.Wrapf(err, "open second socket beside %s", s.endpoint)
	}
	p := &path{conn: conn, ended: make(chan struct{}, 1)}
	go func(ctx context.Context) {
		// It ends with an error only when close has closed the socket.
		_ = s.receiveOn(ctx, conn, ring)
		p.ended <- struct{}{}
	}(context.WithoutCancel(ctx))
	return p, nil
}

// SendOnNewPath writes one frame to a peer from the second socket that is not in use yet.
func (s *Socket) SendOnNewPath(frame hickoryring.Frame) {
	s.pathMutex.Lock()
	p := s.tried[frame.Peer]
	s.pathMutex.Unlock()
	if p != nil {
		s.writeFrom(p.conn, frame)
	}
}

// KeepPath sends everything for a peer from its second socket from now on. When
// too many peers have one, the peer that has had its own longest goes back to
// the first socket.
func (s *Socket) KeepPath(peer hickorymodel.Endpoint) {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	p := s.tried[peer]
	if p == nil {
		return
	}
	delete(s.tried, peer)
	after := maps.Clone(*s.kept.Load())
	dropped := []*path{after[peer]}
	s.keptOrder = slices.DeleteFunc(s.keptOrder, func(e hickorymodel.Endpoint) bool { return e == peer })
	if len(s.keptOrder) >= maxPaths {
		oldest := s.keptOrder[0]
		s.keptOrder = s.keptOrder[1:]
		dropped = append(dropped, after[oldest])
		delete(after, oldest)
	}
	after[peer] = p
	s.keptOrder = append(s.keptOrder, peer)
	s.kept.Store(&after)
	for _, old := range dropped {
		old.close()
	}
}

// DropPath closes the second socket of a peer that is not in use yet.
func (s *Socket) DropPath(peer hickorymodel.Endpoint) {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	s.tried[peer].close()
	delete(s.tried, peer)
}

// closePaths closes all second sockets and waits for their receivers.
func (s *Socket) closePaths() {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	s.closed = true
	for _, paths := range []pathMap{s.tried, *s.kept.Load()} {
		for _, p := range paths {
			p.close()
		}
	}
	s.tried = pathMap{}
	s.kept.Store(&pathMap{})
	s.sending.Swap(nil).close()
	s.retiring.close()
	s.retiring = nil
}

func (p *path) close() {
	if p == nil {
		return
	}
	_ = p.conn.Close()
	<-p.ended
}
