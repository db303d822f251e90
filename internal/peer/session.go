package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/hornbeamstack/hornbeamstack/internal/bytelimit"
)

// session is the client side of the connection to one address. It ends with the
// first failure; the client then opens a new one on demand.
type session struct {
	addr    string
	local   *net.TCPAddr
	traffic *Traffic
	onEnd   func(*session)
	queue   chan *envelope // messages to be sent
	queued  *bytelimit.Limit
	done    chan struct{} // closed when the session has failed

	mu       sync.Mutex
	nextID   uint64
	pending  map[uint64]chan *envelope // reply channels of calls in flight, by identifier
	lastRecv time.Time
	err      error // cause of the end, set before done is closed
}

func newSession(addr string, local *net.TCPAddr, traffic *Traffic, onEnd func(*session)) *session {
	return &session{
		addr: addr, local: local, traffic: traffic, onEnd: onEnd,
		queue:    make(chan *envelope, sendQueueLength),
		queued:   bytelimit.New(sendQueueBytes),
		done:     make(chan struct{}),
		pending:  map[uint64]chan *envelope{},
		lastRecv: time.Now(),
	}
}

// run opens the connection and sends queued messages until the session ends.
func (s *session) run() {
	dialer := net.Dialer{Timeout: dialTimeout}
	if s.local != nil {
		dialer.LocalAddr = s.local
	}
	tcp, err := dialer.Dial("tcp", s.addr)
	if err != nil {
		s.fail(&DialError{Addr: s.addr, Err: err})
		return
	}
	conn := drpcconn.NewWithOptions(&countedConn{Conn: tcp, traffic: s.traffic}, drpcconn.Options{Manager: managerOptions()})
	// The TCP connection is closed first, to unblock a send to an unresponsive
	// peer.
	defer func() { _ = tcp.Close(); _ = conn.Close() }()
	go func() { <-s.done; _ = tcp.Close() }()
	stream, err := conn.NewStream(context.Background(), streamRPC, cborEncoding{})
	if err != nil {
		s.fail(ErrConnectionLost)
		return
	}
	go s.receive(stream)
	s.send(stream)
}

func (s *session) send(stream drpc.Stream) {
	for {
		select {
		case env := <-s.queue:
			s.queued.Release(len(env.Body))
			if err := stream.MsgSend(env, cborEncoding{}); err != nil {
				s.fail(ErrConnectionLost)
				return
			}
		case <-s.done:
			return
		}
	}
}

// receive delivers replies to the calls that wait for them. It discards replies
// to calls that have ended.
func (s *session) receive(stream drpc.Stream) {
	for {
		env := &envelope{}
		if err := stream.MsgRecv(env, cborEncoding{}); err != nil {
			s.fail(ErrConnectionLost)
			return
		}
		s.mu.Lock()
		s.lastRecv = time.Now()
		ch := s.pending[env.ID]
		delete(s.pending, env.ID)
		s.mu.Unlock()
		if ch != nil {
			ch <- env
		}
	}
}

// call sends a request and waits for its reply, the end of the session or the end
// of ctx.
func (s *session) call(ctx context.Context, env *envelope) (*envelope, error) {
	sent := time.Now()
	reply := make(chan *envelope, 1)
	s.mu.Lock()
	s.nextID++
	env.ID = s.nextID
	s.pending[env.ID] = reply
	s.mu.Unlock()
	defer s.removePending(env.ID)
	if err := s.enqueue(env); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-s.done:
		return nil, s.cause()
	case <-ctx.Done():
		_ = s.enqueue(&envelope{ID: env.ID, Kind: kindCancel})
		s.endIfSilent(sent)
		return nil, ctx.Err()
	}
}

// endIfSilent ends the session if a call sent at the given time has waited for
// silenceLimit or longer and nothing has been received since.
func (s *session) endIfSilent(sent time.Time) {
	s.mu.Lock()
	silent := !s.lastRecv.After(sent) && time.Since(sent) >= silenceLimit
	s.mu.Unlock()
	if silent {
		s.fail(ErrConnectionLost)
	}
}

// enqueue queues a message without blocking. It returns ErrQueueFull if there is no
// space, or the cause if the session has ended.
func (s *session) enqueue(env *envelope) error {
	select {
	case <-s.done:
		return s.cause()
	default:
	}
	if !s.queued.Acquire(len(env.Body)) {
		return ErrQueueFull
	}
	select {
	case s.queue <- env:
		return nil
	default:
		s.queued.Release(len(env.Body))
		return ErrQueueFull
	}
}

func (s *session) removePending(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// cause returns the error that ended the session, or nil.
func (s *session) cause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// fail ends the session with err, unless it has already ended.
func (s *session) fail(err error) {
	s.mu.Lock()
	if s.err != nil {
		s.mu.Unlock()
		return
	}
	s.err = err
	s.mu.Unlock()
	close(s.done)
	s.onEnd(s)
}
