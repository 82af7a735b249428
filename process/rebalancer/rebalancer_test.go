package rebalancer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/leaser"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const service = identifier.ServiceName("llm")

// fakeEngine is an engine that records the orders it gets.
type fakeEngine struct {
	state  EngineState
	orders []Order
	status int
	// dropsResponses accepts orders without a response; isUnreachable fails before
	// anything is sent.
	dropsResponses bool
	isUnreachable  bool
	// statePadding and orderPadding follow the body of the response to a state request
	// or an order.
	statePadding string
	orderPadding string
}

func (e *fakeEngine) exchange(_ context.Context, _ registrar.Entry, m exchanger.Request) (*exchanger.Response, error) {
	if e.isUnreachable {
		return nil, &exchanger.SendError{Err: errors.New("refused")}
	}
	if m.Method == http.MethodGet {
		body, err := json.Marshal(e.state)
		return newResponse(http.StatusOK, append(body, e.statePadding...)), err
	}
	var order Order
	err := json.Unmarshal(m.Body, &order)
	if err != nil {
		return nil, err
	}
	e.orders = append(e.orders, order)
	if e.dropsResponses {
		return nil, &exchanger.SendError{MaybeSent: true, Err: errors.New("reset")}
	}
	return newResponse(e.status, []byte(e.orderPadding)), nil
}

func newResponse(status int, body []byte) *exchanger.Response {
	return &exchanger.Response{Response: &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(string(body)))}}
}

var protocol = Protocol{
	EncodeStateRequest: func(registrar.Entry) exchanger.Request { return exchanger.Request{Method: http.MethodGet} },
	DecodeState: func(body []byte) (state EngineState, err error) {
		err = json.Unmarshal(body, &state)
		return state, err
	},
	EncodeOrder: func(_ registrar.Entry, o Order) (exchanger.Request, error) {
		body, err := json.Marshal(o)
		return exchanger.Request{Method: http.MethodPost, Body: body}, err
	},
	DecodeOutcome: func(status int) Outcome {
		switch status {
		case http.StatusAccepted:
			return OutcomeAccepted
		case http.StatusPreconditionFailed:
			return OutcomeFenced
		}
		return OutcomeConflict
	},
}

// claimStore is an in-memory store with the claims of one duty.
type claimStore struct {
	claims [][]byte
}

func (c *claimStore) readNewest(context.Context, string) (newest leaser.NewestClaim, err error) {
	newest.NextPosition = identifier.Position(len(c.claims))
	if newest.NextPosition > 0 {
		newest.Data = c.claims[newest.NextPosition-1]
		newest.Position = newest.NextPosition - 1
	}
	return newest, nil
}

func (c *claimStore) append(_ context.Context, _ string, data []byte, nextPosition identifier.Position) (identifier.Position, error) {
	c.claims = append(c.claims, data)
	return nextPosition, nil
}

// newRebalancer returns a rebalancer whose service has one prefill engine too many.
func newRebalancer(e *fakeEngine, c *claimStore) (*Rebalancer, *placer.Placer) {
	clock := clockwork.NewFakeClock()
	p := placer.New(clock)
	p.Configure(service, parser.EngineProfile{Slots: 48, KVCacheCapacity: 73_378, TokensPerEvent: 63}, []registrar.Entry{
		{Name: "p0", Role: parser.RolePrefill, Slots: 48},
		{Name: "p1", Role: parser.RolePrefill, Slots: 48},
		{Name: "d0", Role: parser.RoleDecode, Slots: 48},
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for n := range int64(50) {
		// Requests that are cancelled immediately still count in the mix.
		key := placer.Key{Requester: "h", Number: n}
		_, _ = p.Place(ctx, service, placer.Request{Key: key, PromptTokens: 5000, MaxOutput: 8000, OutputHint: 4000, TimeToDeadline: time.Second, MaxWait: time.Second})
		p.Report(service, placer.Report{Key: key, Step: placer.StepEnded})
	}
	l := leaser.New()
	l.OwnClaim = leaser.Claim{Holder: "vm", Incarnation: "1"}
	l.ReadNewestClaim = c.readNewest
	l.AppendClaim = c.append
	l.HandoverWait = func() time.Duration { return time.Second }
	l.Clock = clock
	l.Log = logger.Discard()
	r := New()
	r.Self = "vm"
	r.Placer = p
	r.Leaser = l
	r.Exchange = e.exchange
	r.Protocol = protocol
	r.Clock = clock
	r.Log = logger.Discard()
	r.Meter = meter.NewNoop()
	return r, p
}

func TestSparePrefillEngineIsOrderedToDecodeOnce(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{state: EngineState{Role: parser.RolePrefill, Sequence: 7}, status: http.StatusAccepted}
	r, _ := newRebalancer(e, &claimStore{})
	is.NoErr(r.adjust(context.Background(), service))
	is.NoErr(r.adjust(context.Background(), service)) // the change is already in progress
	is.Equal(e.orders, []Order{{To: parser.RoleDecode, Holder: "vm", Token: 1, ExpectedSequence: 7}})
	is.Equal(r.Meter.EventCount(meter.EventRoleOrder), int64(1))
}

func TestNoOrderIsSentWhileOneOfThePreviousHolderMayArrive(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{state: EngineState{Role: parser.RolePrefill}, status: http.StatusAccepted}
	other, err := json.Marshal(leaser.Claim{Holder: "other", Incarnation: "9"})
	is.NoErr(err)
	r, _ := newRebalancer(e, &claimStore{claims: [][]byte{other}})
	is.NoErr(r.adjust(context.Background(), service))
	is.Equal(len(e.orders), 0)
}

func TestFailedOrderKeepsTheRoleUnlessItsOutcomeIsUnknown(t *testing.T) {
	cases := []struct {
		name   string
		engine fakeEngine
		// sent is the number of orders that the engine gets; keepsRole says that it
		// still takes requests in its old role.
		sent      int
		keepsRole bool
	}{
		{"is unreachable", fakeEngine{isUnreachable: true}, 0, true},
		{"has another role than listed", fakeEngine{state: EngineState{Role: parser.RoleDecode}}, 0, true},
		{"carries out another order", fakeEngine{state: EngineState{Role: parser.RolePrefill, IsChangingRole: true}}, 0, true},
		{"has accepted another order", fakeEngine{state: EngineState{Role: parser.RolePrefill}, status: http.StatusConflict}, 1, true},
		{"has seen a higher token", fakeEngine{state: EngineState{Role: parser.RolePrefill}, status: http.StatusPreconditionFailed}, 1, true},
		{"does not respond, and may change later", fakeEngine{state: EngineState{Role: parser.RolePrefill}, dropsResponses: true}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, p := newRebalancer(&c.engine, &claimStore{})
			err := r.adjust(context.Background(), service)
			is.True(err != nil)
			is.Equal(len(c.engine.orders), c.sent)
			_, wanted := p.RecommendRoleChange(service) // an engine that is being changed counts in its new role
			is.Equal(wanted, c.keepsRole)
		})
	}
}

// Guards against a response without end that is taken as complete once its size limit
// is reached: an order must end as unknown, and no order may follow such a state.
func TestEndlessResponseOfAnEngineIsNotTakenAsComplete(t *testing.T) {
	endless := strings.Repeat(" ", maxResponseBytes+1)
	cases := []struct {
		name   string
		engine fakeEngine
		// sent is the number of orders that the engine gets; keepsRole says that it
		// still takes requests in its old role.
		sent      int
		keepsRole bool
	}{
		{"state", fakeEngine{state: EngineState{Role: parser.RolePrefill}, status: http.StatusAccepted, statePadding: endless}, 0, true},
		{"accepted order", fakeEngine{state: EngineState{Role: parser.RolePrefill}, status: http.StatusAccepted, orderPadding: endless}, 1, false},
		{"refused order", fakeEngine{state: EngineState{Role: parser.RolePrefill}, status: http.StatusConflict, orderPadding: endless}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, p := newRebalancer(&c.engine, &claimStore{})
			err := r.adjust(context.Background(), service)
			is.True(err != nil)
			is.Equal(len(c.engine.orders), c.sent)
			_, wanted := p.RecommendRoleChange(service)
			is.Equal(wanted, c.keepsRole)
		})
	}
}

func TestFencedHolderClaimsAgainAndWaits(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{state: EngineState{Role: parser.RolePrefill}, status: http.StatusPreconditionFailed}
	c := &claimStore{}
	r, _ := newRebalancer(e, c)
	_ = r.adjust(context.Background(), service)
	is.NoErr(r.adjust(context.Background(), service)) // appends a new claim and waits for the handover
	is.Equal(len(e.orders), 1)
	is.Equal(len(c.claims), 2)
}
