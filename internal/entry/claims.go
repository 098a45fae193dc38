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
	// forwardTime is how long a shard's preferred writer may take before this instance writes itself.
	forwardTime = 700 * time.Millisecond
	sweepPeriod = 10 * time.Minute
	sweepMost   = 500
)

// claimWriter makes changes to ledger pages through the shard's preferred writer, or itself.
//
// The preferred writer gathers the claims of all instances into few writes. It is a hint: a second writer costs a conflict.
type claimWriter Node

// Submit makes a change; any error leaves its effect unknown.
func (w *claimWriter) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	shard := op.PageID().Shard
	preferred := rank.First("ledger/"+strconv.Itoa(shard), w.members.current().Writers)
	if preferred != w.cfg.Name && preferred != "" {
		if result, err := w.forward(ctx, preferred, op); err == nil {
			return result, nil
		}
	}
	// A forwarded change may still land; its nonce makes a second one harmless.
	result, err := w.committer.Submit(ctx, op)
	if err == nil || ctx.Err() != nil {
		return result, err
	}
	other := w.elsewhere(shard, preferred)
	if other == "" {
		return result, err
	}
	return w.forward(ctx, other, op)
}

// elsewhere returns the writer that is ranked first in the other zones, which may reach the platform when this zone can't.
func (w *claimWriter) elsewhere(shard int, tried string) string {
	view := w.members.current()
	var names []string
	for _, name := range view.Writers {
		if name != tried && view.Members[name].Zone != w.cfg.Zone {
			names = append(names, name)
		}
	}
	return rank.First("ledger/"+strconv.Itoa(shard), names)
}

func (w *claimWriter) forward(ctx context.Context, to string, op claim.Op) (claim.Result, error) {
	address, ok := w.members.address(to)
	if !ok {
		return claim.Result{}, errNoMember
	}
	wait := forwardTime
	if op.Kind != claim.OpClaim {
		// Outcomes wait for a claim's write to ride on.
		wait *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var claimed peer.ClaimReply
	if err := w.network.Call(ctx, to, address, peer.KindClaim, peer.Claim{Op: op}, &claimed); err != nil {
		return claim.Result{}, fmt.Errorf("forward claim: %w", err)
	}
	return claimed.Result, nil
}

// holders asks the processes that hold claims.
type holders Node

// Inquire asks a holder, unless it is known to be gone.
func (h *holders) Inquire(ctx context.Context, holder string, nonce claim.Nonce) (ledger.AttemptReport, error) {
	name, _, _ := strings.Cut(holder, "#")
	info, ok := h.members.current().Members[name]
	if !ok || info.Incarnation != holder {
		return ledger.AttemptReport{}, ledger.ErrHolderGone
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(h.cfg.RequestTimeout)
	}
	var answer peer.ClaimStatusReply
	msg := peer.ClaimStatusRequest{Holder: holder, Nonce: nonce, Remaining: time.Until(deadline)}
	if err := h.network.Call(ctx, name, info.Address, peer.KindClaimStatus, msg, &answer); err != nil {
		return ledger.AttemptReport{}, fmt.Errorf("inquire: %w", err)
	}
	if answer.Gone {
		return ledger.AttemptReport{}, ledger.ErrHolderGone
	}
	return answer.Report, nil
}

// sweep is the duty that deletes ledger pages on which every key has expired; one instance of all does it.
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
	values := n.ranked(budget.PriorityOther)
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
		if err := values.Delete(ctx, e.Key, e.Version); err != nil || deleted >= sweepMost {
			break
		}
		deleted++
	}
	if deleted > 0 {
		n.log.Info(event.PagesDeleted, "expired ledger pages deleted", zap.Int("pages", deleted))
	}
}
