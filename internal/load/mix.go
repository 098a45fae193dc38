package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/state/piece"
)

// Kind is a kind of request.
type Kind string

// KindQuick and the others are the kinds of requests that both customers send.
const (
	KindQuick    Kind = "quick reply"
	KindReturn   Kind = "returning context"
	KindLong     Kind = "long review"
	KindBooking  Kind = "booking"
	KindCalendar Kind = "calendar read"
)

// Kinds lists all kinds in the order in which reports print them.
var Kinds = []Kind{KindQuick, KindReturn, KindLong, KindBooking, KindCalendar}

// KindShare is the percentage of requests that are of a kind.
type KindShare struct {
	Kind    Kind
	Percent int
}

// LeGoff consists mainly of answers about contracts and of contract reviews, with some bookings. Teranga consists mainly of calendar
// reads and bookings, with some redrafts.
var (
	LeGoff  = []KindShare{{KindQuick, 45}, {KindReturn, 30}, {KindLong, 5}, {KindBooking, 15}, {KindCalendar, 5}}
	Teranga = []KindShare{{KindQuick, 20}, {KindReturn, 15}, {KindLong, 5}, {KindBooking, 20}, {KindCalendar, 40}}
)

// MixFor returns a customer's request mix.
func MixFor(customer string) []KindShare {
	if customer == "teranga" {
		return Teranga
	}
	return LeGoff
}

// Task is one request, which is retried until it is answered.
type Task struct {
	Number    int
	Kind      Kind
	Workspace int
	// Conversation identifies a context within the workspace; tasks of the same conversation share their context.
	Conversation int
	Chat         *api.ChatRequest
}

const (
	conversations    = 8
	contextPieces    = 6
	quickTokens      = 24
	returnTokens     = 32
	longTokens       = 600
	quickPromptBytes = 1200
)

// NewTask generates one task of a run. It is deterministic: the same seed and number give the same task.
func NewTask(mix []KindShare, number, workspaces int, seed uint64) Task {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	t := Task{Number: number, Kind: drawKind(mix, random), Workspace: random.IntN(workspaces), Conversation: random.IntN(conversations)}
	t.Chat = chatRequest(&t)
	return t
}

func drawKind(mix []KindShare, random *rand.Rand) Kind {
	percentile := random.IntN(100)
	for _, s := range mix {
		if percentile < s.Percent {
			return s.Kind
		}
		percentile -= s.Percent
	}
	return mix[0].Kind
}

func chatRequest(t *Task) *api.ChatRequest {
	question := fmt.Sprintf("question %d", t.Number)
	r := &api.ChatRequest{MaxTokens: quickTokens}
	switch t.Kind {
	case KindQuick:
		r.Messages = []api.Message{{Role: "user", Content: repeat(fmt.Sprintf("quick %d ", t.Number), quickPromptBytes) + question}}
	case KindReturn:
		r.MaxTokens = returnTokens
		r.Messages = []api.Message{{Role: "system", Content: contextText(t)}, {Role: "user", Content: question}}
	case KindLong:
		r.MaxTokens = longTokens
		r.Messages = []api.Message{{Role: "system", Content: contextText(t)}, {Role: "user", Content: "review: " + question}}
	default:
		return nil
	}
	return r
}

// contextText returns the shared prompt prefix of a workspace's conversation, the same for each of its tasks.
func contextText(t *Task) string {
	return repeat(fmt.Sprintf("contract %d of workspace %d. ", t.Conversation, t.Workspace), contextPieces*piece.Tokens*piece.BytesPerToken+100)
}

func repeat(text string, size int) string {
	return strings.Repeat(text, size/len(text)+1)[:size]
}
