package entry

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/budget"
	"gypsumvale/internal/coordination/ledger"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/claim"
)

const (
	// forwardTimeout is how long this instance waits for a shard's preferred writer before it writes the page itself.
	forwardTimeout  = 700 * time.Millisecond
	sweepPeriod     = 10 * time.Minute
	maxSweepDeletes = 500
)

// claimWriter changes ledger pages through the shard's preferred writer, or directly if that one doesn't answer.
//
// The preferred writer batches the claims of all instances into few writes. It needn't be the only writer: two writers of a page cause
// version conflicts, but no wrong result.
type claimWriter Node

// Submit makes a change. After an error, it is unknown whether the change took effect.
func (w *claimWriter) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	shard := op.PageID().Shard
	preferred := rank.First("ledger/"+strconv.Itoa(shard), w.members.current().Writers)
	if preferred != w.cfg.Name && preferred != "" {
		if result, err := w.forward(ctx, preferred, op); err == nil {
			return result, nil
		}
	}
	// A forwarded change may still take effect later; its nonce makes it harmless to apply the change twice.
	result, err := w.committer.Submit(ctx, op)
	if err == nil || ctx.Err() != nil {
		return result, err
	}
	fallback := w.writerInOtherZone(shard, preferred)
	if fallback == "" {
		return result, err
	}
	return w.forward(ctx, fallback, op)
}

// writerInOtherZone returns the writer ranked first among those in other zones, which may reach the platform when this zone can't.
func (w *claimWriter) writerInOtherZone(shard int, exclude string) string {
	view := w.members.current()
	var names []string
	for _, name := range view.Writers {
		if name != exclude && view.Members[name].Zone != w.cfg.Zone {
			names = append(names, name)
		}
	}
	return rank.First("ledger/"+strconv.Itoa(shard), names)
}

func (w *claimWriter) forward(ctx context.Context, to string, op claim.Op) (claim.Result, error) {
	address, ok := w.members.address(to)
	if !ok {
		return claim.Result{}, errNotLiveMember
	}
	timeout := forwardTimeout
	if op.Kind != claim.OpClaim {
		// The writer delays outcomes, to batch them with the next claim on the same page.
		timeout *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply peer.ClaimReply
	if err := w.network.Call(ctx, to, address, peer.KindClaim, peer.Claim{Op: op}, &reply); err != nil {
		return claim.Result{}, fmt.Errorf("forward claim: %w", err)
	}
	return reply.Result, nil
}

// holderClient queries the processes that hold claims.
type holderClient Node

// Inquire queries the state of a claim from its holder. It returns ErrHolderGone without a query if the holder isn't a live member.
func (h *holderClient) Inquire(ctx context.Context, holder string, nonce claim.Nonce) (ledger.AttemptReport, error) {
	name, _, _ := strings.Cut(holder, "#")
	info, ok := h.members.current().Members[name]
	if !ok || info.Incarnation != holder {
		return ledger.AttemptReport{}, ledger.ErrHolderGone
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(h.cfg.RequestTimeout)
	}
	var reply peer.ClaimStatusReply
	msg := peer.ClaimStatusRequest{Holder: holder, Nonce: nonce, Remaining: time.Until(deadline)}
	if err := h.network.Call(ctx, name, info.Address, peer.KindClaimStatus, msg, &reply); err != nil {
		return ledger.AttemptReport{}, fmt.Errorf("query claim status: %w", err)
	}
	if reply.Gone {
		return ledger.AttemptReport{}, ledger.ErrHolderGone
	}
	return reply.Report, nil
}

// sweep periodically deletes the ledger pages on which every key has expired, on the one instance that is ranked first for it.
func (n *Node) sweep(ctx context.Context) {
	for {
		duty.Sleep(ctx, sweepPeriod)
		if ctx.Err() != nil {
			return
		}
		if rank.First("sweep", n.members.current().All) == n.cfg.Name {
			n.sweepOnce(ctx)
		}
	}
}

func (n *Node) sweepOnce(ctx context.Context) {
	values := n.kvClient(budget.PriorityOther)
	entries, err := values.List(ctx, claim.PagePrefix)
	if err != nil {
		return
	}
	deleted := 0
	for _, e := range entries {
		id, err := claim.ParsePath(e.Key)
		if err != nil || !id.Expired(time.Now()) {
			continue
		}
		if err := values.Delete(ctx, e.Key, e.Version); err != nil || deleted >= maxSweepDeletes {
			break
		}
		deleted++
	}
	if deleted > 0 {
		n.log.Info(event.PagesDeleted, "expired ledger pages deleted", zap.Int("pages", deleted))
	}
}
