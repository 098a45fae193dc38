package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/state/piece"
)

// Kind is a sort of request.
type Kind string

// Sorts of requests of both customers.
const (
	KindQuick    Kind = "quick reply"
	KindReturn   Kind = "returning context"
	KindLong     Kind = "long review"
	KindBooking  Kind = "booking"
	KindCalendar Kind = "calendar read"
)

// Kinds lists the sorts in the order of reports.
var Kinds = []Kind{KindQuick, KindReturn, KindLong, KindBooking, KindCalendar}

// KindShare is how many of a hundred requests are of a kind.
type KindShare struct {
	Kind    Kind
	Percent int
}

// LeGoff is contract answers and reviews with some bookings, and Teranga calendar reads and bookings beside redrafts.
var (
	LeGoff  = []KindShare{{KindQuick, 45}, {KindReturn, 30}, {KindLong, 5}, {KindBooking, 15}, {KindCalendar, 5}}
	Teranga = []KindShare{{KindQuick, 20}, {KindReturn, 15}, {KindLong, 5}, {KindBooking, 20}, {KindCalendar, 40}}
)

// MixFor returns a customer's mix.
func MixFor(customer string) []KindShare {
	if customer == "teranga" {
		return Teranga
	}
	return LeGoff
}

// Task is one request to be made until it is answered.
type Task struct {
	Number    int
	Kind      Kind
	Workspace int
	// Conversation numbers the contexts that come back.
	Conversation int
	Chat         *api.ChatRequest
}

const (
	conversations   = 8
	contextPieces   = 6
	quickTokens     = 24
	returnTokens    = 32
	longTokens      = 600
	quickPromptSize = 1200
)

// NewTask draws one task of a run; the same seed and number give the same task.
func NewTask(mix []KindShare, number, workspaces int, seed uint64) Task {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	t := Task{Number: number, Kind: draw(mix, random), Workspace: random.IntN(workspaces), Conversation: random.IntN(conversations)}
	t.Chat = chat(&t)
	return t
}

func draw(mix []KindShare, random *rand.Rand) Kind {
	roll := random.IntN(100)
	for _, s := range mix {
		if roll < s.Percent {
			return s.Kind
		}
		roll -= s.Percent
	}
	return mix[0].Kind
}

func chat(t *Task) *api.ChatRequest {
	question := fmt.Sprintf("question %d", t.Number)
	r := &api.ChatRequest{MaxTokens: quickTokens}
	switch t.Kind {
	case KindQuick:
		r.Messages = []api.Message{{Role: "user", Content: filler(fmt.Sprintf("quick %d ", t.Number), quickPromptSize) + question}}
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

// contextText is the same for a workspace's conversation whenever it comes back.
func contextText(t *Task) string {
	return filler(fmt.Sprintf("contract %d of workspace %d. ", t.Conversation, t.Workspace), contextPieces*piece.Tokens*piece.BytesPerToken+100)
}

func filler(text string, size int) string {
	return strings.Repeat(text, size/len(text)+1)[:size]
}
