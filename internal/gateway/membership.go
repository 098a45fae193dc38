package gateway

import (
	"context"
	cryptorand "crypto/rand"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/transport/peers"
)

const (
	// entryTTL is the lease time of an entry's registration. It may be long, because peers detect a dead entry by its closed connections.
	entryTTL = 10 * time.Second
	// entryRenewPeriod allows two lost renewals before the lease expires.
	entryRenewPeriod = 3 * time.Second
	// registerRetryPause is the pause after a failed attempt to register.
	registerRetryPause = time.Second
	// secretBytes is the length of the secret by which peers authenticate each other.
	secretBytes = 32
)

// join performs the steps still missing for this instance's membership: creating the shared secret, opening the peer port, registering.
func (m *members) join(ctx context.Context) error {
	m.mu.Lock()
	secret, stored, network, lease := m.secret, m.secretStored, m.network, m.lease
	m.mu.Unlock()
	if secret == nil || !stored {
		return m.storeSecret(ctx, secret)
	}
	if network == nil {
		m.listen(secret)
	}
	if lease.IsZero() {
		return m.register(ctx)
	}
	return nil
}

// renew renews this instance's registration periodically, independently of the polling of the store.
func (m *members) renew(ctx context.Context) {
	pause := entryRenewPeriod
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-m.checkDue:
			timer.Stop()
		}
		pause = entryRenewPeriod
		if err := m.renewOnce(ctx); err != nil {
			m.node.log.Warn(event.StoreUnreachable, "failed to register this instance", zap.Error(err))
			pause = registerRetryPause
		}
	}
}

// renewOnce renews this instance's registration, or registers it again if its lease has ended. The error is that of registering; a failed
// renewal is repeated with the next one.
func (m *members) renewOnce(ctx context.Context) error {
	m.mu.Lock()
	lease, joined := m.lease, m.network != nil
	m.mu.Unlock()
	if lease.IsZero() {
		if !joined {
			return nil
		}
		return m.register(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	err := m.node.deps.Store.Renew(ctx, lease)
	m.node.countStoreCall("renew_entry", err)
	if !errors.Is(err, kv.ErrLeaseEnded) {
		return nil
	}
	m.node.log.Warn(event.StoreUnreachable, "registration lease of this instance expired", zap.Error(err))
	m.setLease(kv.Lease{})
	return m.register(ctx)
}

func (m *members) setLease(lease kv.Lease) {
	m.mu.Lock()
	m.lease = lease
	m.mu.Unlock()
}

// storeSecret writes the secret shared by all instances unless one exists: the given one, or a new one if that is nil. All instances then
// read the one in the store.
func (m *members) storeSecret(ctx context.Context, secret []byte) error {
	if secret == nil {
		secret = make([]byte, secretBytes)
		// Read never returns an error.
		_, _ = cryptorand.Read(secret)
	}
	_, err := m.node.deps.Store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: secretKey}}, Writes: []kv.Write{{Key: secretKey, Data: secret}},
	})
	m.node.countStoreCall("secret", err)
	m.node.poller.wake()
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return fmt.Errorf("write secret: %w", err)
	}
	return nil
}

// register writes this instance's record under a new lease, unless it has one.
func (m *members) register(ctx context.Context) error {
	m.registering.Lock()
	defer m.registering.Unlock()
	m.mu.Lock()
	registered := !m.lease.IsZero()
	m.mu.Unlock()
	if registered {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeReadTimeout)
	defer cancel()
	cfg := m.node.cfg
	record, err := msgpack.Marshal(entryRecord{
		Address: cfg.Advertise, Zone: cfg.Zone, Incarnation: m.node.incarnation, Processor: cfg.CPUCores, Link: cfg.LinkMbps,
		Forwards: cfg.Forwards,
	})
	if err != nil {
		return fmt.Errorf("encode entry record: %w", err)
	}
	lease, err := m.node.deps.Store.Grant(ctx, entryTTL)
	m.node.countStoreCall("grant_entry", err)
	if err != nil {
		return fmt.Errorf("register entry: %w", err)
	}
	_, err = m.node.deps.Store.Commit(ctx, kv.Transaction{Writes: []kv.Write{{Key: entryPrefix + cfg.Name, Data: record, Lease: lease}}})
	m.node.countStoreCall("register_entry", err)
	if err != nil {
		return fmt.Errorf("register entry: %w", err)
	}
	m.setLease(lease)
	return nil
}

func (m *members) deregister() {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseReleaseTimeout)
	defer cancel()
	m.node.countStoreCall("end_entry", m.node.deps.Store.End(ctx, lease))
}

// checkRegistration triggers a check whether this instance is still registered.
func (m *members) checkRegistration() {
	select {
	case m.checkDue <- struct{}{}:
	default:
	}
}

// listen opens the port for peers.
func (m *members) listen(secret []byte) {
	n := m.node
	network := peers.New(peers.Config{
		Name: n.cfg.Name, Incarnation: n.incarnation, Address: n.cfg.Peers, Secret: secret, CountFrame: n.guard.CountFrame,
		Observer: peers.NewLogObserver(n.log),
	}, (*handler)(n))
	if _, err := network.Listen(); err != nil {
		// Without peers, every request is placed by this instance's own counts.
		n.log.Warn(event.ListenerFailed, "failed to open the peer port; serving without peers", zap.Error(err))
		return
	}
	m.mu.Lock()
	m.network = network
	m.mu.Unlock()
	n.wg.Go(func() { network.Run(n.background) })
}
