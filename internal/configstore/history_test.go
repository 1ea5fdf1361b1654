package configstore

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// operation is one call of an operator: a patch that adds an account named by a
// unique mark, or a read.
type operation struct {
	read    bool
	ifMatch uint64
	mark    string
}

// outcome is the result that the operator received.
type outcome struct {
	kind   errkind.Kind
	number uint64
	marks  string
}

// patchListModel is the model that porcupine checks histories against: a list of
// the accepted marks. A patch of unknown outcome may or may not be in the list.
var patchListModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		marks, in, out := state.(string), input.(operation), output.(outcome)
		number := uint64(strings.Count(marks, ";"))
		applied := marks + in.mark + ";"
		switch {
		case in.read && out.kind == "":
			return statesIf(out.number == number && out.marks == marks, marks)
		case in.read, out.kind == errkind.PlatformUnavailable:
			return []any{marks}
		case out.kind == "":
			return statesIf(in.ifMatch == number && out.number == number+1, applied)
		case out.kind == errkind.StalePatch:
			return statesIf(in.ifMatch != number && out.number == number, marks)
		case out.kind == errkind.OutcomeUnknown && in.ifMatch == number:
			return []any{marks, applied}
		case out.kind == errkind.OutcomeUnknown:
			return []any{marks}
		}
		return nil
	},
}

func statesIf(ok bool, state string) []any {
	if ok {
		return []any{state}
	}
	return nil
}

func TestConcurrentOperatorsUnderLostResponsesAndOutages(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runConcurrentOperators(t, seed) })
		})
	}
}

func runConcurrentOperators(t *testing.T, seed uint64) {
	const operators, patches = 5, 8
	is := is.New(t)
	m := platform.NewMemory()
	ctx, cancel := context.WithCancel(t.Context())
	var faultsDone sync.WaitGroup
	faultsDone.Go(func() { injectFaults(ctx, m, rand.New(rand.NewPCG(seed, 1))) })
	r := &operationRecorder{}
	var operatorsDone sync.WaitGroup
	for id := range operators {
		operatorsDone.Go(func() { r.runOperator(t.Context(), m, id, patches, rand.New(rand.NewPCG(seed, uint64(id+2)))) })
	}
	operatorsDone.Wait()
	cancel()
	faultsDone.Wait()
	m.SetFaults(platform.Faults{})
	r.read(t.Context(), NewEditor(m, NewStore()), operators)

	last := r.operations[len(r.operations)-1].Output.(outcome)
	t.Logf("%d operations, %d accepted, %d unknown", len(r.operations), last.number, r.countUnknown())
	is.True(last.number > 0)
	is.True(porcupine.CheckOperations(patchListModel.ToModel(), r.operations))
	for _, mark := range strings.Split(strings.TrimSuffix(last.marks, ";"), ";") {
		is.Equal(strings.Count(";"+last.marks, ";"+mark+";"), 1) // each accepted patch is in the history exactly once
	}
}

// operationRecorder records operations with the logical times of their start and
// end.
type operationRecorder struct {
	mu         sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
}

func (r *operationRecorder) record(client int, in operation, out outcome, call int64) {
	// A patch of unknown outcome may take effect at any later time.
	ret := r.clock.Add(1)
	if out.kind == errkind.OutcomeUnknown {
		ret = 1 << 60
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret})
}

func (r *operationRecorder) countUnknown() int {
	count := 0
	for _, o := range r.operations {
		if o.Output.(outcome).kind == errkind.OutcomeUnknown {
			count++
		}
	}
	return count
}

func (r *operationRecorder) runOperator(ctx context.Context, m *platform.Memory, client, patches int, random *rand.Rand) {
	editor := NewEditor(m, NewStore())
	var number uint64
	for i := range patches {
		in := operation{ifMatch: number, mark: fmt.Sprintf("o%d-%d", client, i)}
		call := r.clock.Add(1)
		result, err := editor.Patch(ctx, number, fmt.Appendf(nil, `{"accounts":{%q:{"weight":2}}}`, in.mark))
		out := outcome{kind: "", number: result.Number}
		if err != nil {
			out.kind = errkind.Of(err)
			out.number, _ = CurrentOf(err)
		}
		r.record(client, in, out, call)
		if out.number > 0 {
			number = out.number
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	r.read(ctx, editor, client)
}

func (r *operationRecorder) read(ctx context.Context, editor *Editor, client int) {
	call := r.clock.Add(1)
	record, err := editor.Load(ctx)
	if err != nil {
		r.record(client, operation{read: true}, outcome{kind: errkind.Of(err)}, call)
		return
	}
	var marks strings.Builder
	for _, patch := range record.History() {
		mark := strings.Split(string(patch.GetPatch()), `"`)[3]
		marks.WriteString(mark + ";")
	}
	r.record(client, operation{read: true}, outcome{number: record.Number(), marks: marks.String()}, call)
}

func injectFaults(ctx context.Context, m *platform.Memory, random *rand.Rand) {
	for ctx.Err() == nil {
		slow := time.Duration(random.IntN(50)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			m.SetFaults(platform.Faults{Slow: slow, LoseWriteAnswers: true})
		case 1:
			m.SetFaults(platform.Faults{Down: true})
		default:
			m.SetFaults(platform.Faults{Slow: slow})
		}
		duration := time.Duration(random.IntN(1500)) * time.Millisecond
		if random.IntN(12) == 0 {
			duration += ResolveTimeout // long enough that some outcomes stay unknown
		}
		select {
		case <-ctx.Done():
		case <-time.After(duration):
		}
	}
}

func TestHistoryListsEachPatchOnce(t *testing.T) {
	is := is.New(t)
	editor := NewEditor(platform.NewMemory(), NewStore())
	seen := make(map[string]bool)
	for number := range uint64(5) {
		result, err := editor.Patch(t.Context(), number, []byte(`{"zones": {"z": {}}}`))
		is.NoErr(err)
		seen[result.PatchID] = true
	}
	record, err := editor.Load(t.Context())
	is.NoErr(err)
	for i, patch := range record.History() {
		is.Equal(patch.GetNumber(), uint64(i+1))
		is.True(seen[hex.EncodeToString(patch.GetId())])
		is.Equal(string(patch.GetPatch()), `{"zones":{"z":{}}}`)
	}
}
