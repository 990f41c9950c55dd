package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// confirmation says whether a target is still the process that its record describes.
type confirmation string

const (
	confirmed confirmation = "confirmed"
	// replaced means that the process that runs under the target's id is not that of its record.
	replaced confirmation = "replaced"
	// unconfirmed means that neither the target nor its record tells.
	unconfirmed confirmation = "unconfirmed"
)

// recordDelay is how late a target's record may arrive after it was written.
const recordDelay = time.Second

// reportReader requests from targets the time of their start. Targets start again under their
// ids, and the requests that are sent to an id reach whichever process runs there. A
// target whose record names no start time gets a new id with each start, so it is not
// asked. It is safe for concurrent use.
//
// A process that is still the same after a request as its record said before it has also
// answered that request, because only one process runs under an id at a time. So one
// report confirms all requests that were sent before it was asked for.
type reportReader struct {
	e *Entry
	// reads are the questions to targets for reports, and checks those by health checks.
	reads  joined[id.TargetIncarnation, processReport]
	checks joined[id.TargetIncarnation, healthCheck]
	// records are the questions to the key-value service whether a record is still that of the process.
	records joined[id.TargetIncarnation, bool]

	mu sync.Mutex
	// surveys holds the questions to all targets of a service.
	surveys map[id.Service]*survey
}

// processReport says which process runs under a target's id.
type processReport struct {
	result confirmation
	// start is the start that the process itself named; 0 if it did not.
	start id.Incarnation
}

func newReportReader(e *Entry) *reportReader {
	return &reportReader{e: e, surveys: map[id.Service]*survey{}}
}

// confirm reports whether the target is still the process that its record describes, by
// a report that is asked for from now on.
func (r *reportReader) confirm(ctx context.Context, t *catalog.Target) processReport {
	if t.Incarnation == 0 {
		return r.confirmWithoutStart(ctx, t)
	}
	report, ok := r.reads.ask(ctx, t.Key(), func() processReport { return r.read(t) })
	if !ok {
		return processReport{result: unconfirmed}
	}
	return report
}

// confirmWithoutStart does the same for a target whose record names no start. Where no record names one, each start has a new
// id. Otherwise the record may come from another writer, and the process is asked whether it names one.
func (r *reportReader) confirmWithoutStart(ctx context.Context, t *catalog.Target) processReport {
	if !r.e.startsNamed.Load() {
		return processReport{result: confirmed}
	}
	ctx, cancel := context.WithTimeout(ctx, copyCallTimeout)
	defer cancel()
	start, answered := r.ask(ctx, t)
	switch {
	case start != 0:
		return processReport{replaced, start}
	case answered && !t.SoftwareUnknown:
		return processReport{result: confirmed}
	}
	return processReport{result: unconfirmed}
}

// ask requests from a target the time of its start, which is 0 if it does not report it. answered is false if it does not
// answer, or wants a pause.
func (r *reportReader) ask(ctx context.Context, t *catalog.Target) (start id.Incarnation, answered bool) {
	if r.e.withdrawn.Paused(r.e.deps.Clock.Now(), t.Key()) {
		return 0, false
	}
	answer, err := r.e.callEngine(ctx, t.Address, r.e.deps.Dialect.ReportCall())
	if err != nil || answer.status != http.StatusOK {
		return 0, false
	}
	if report, ok := r.e.deps.Dialect.DecodeReport(answer.body); ok {
		return report.Incarnation, true
	}
	return 0, true
}

// processOf asks a target after the end of its answer which process serves there. The error is
// that of the call. A target that wants a pause is not asked.
func (r *reportReader) processOf(ctx context.Context, t *catalog.Target) (completion.Process, error) {
	if r.e.withdrawn.Paused(r.e.deps.Clock.Now(), t.Key()) {
		return completion.Unknown, nil
	}
	answer, err := r.e.callEngine(ctx, t.Address, r.e.deps.Dialect.ReportCall())
	if err != nil {
		return completion.Unknown, err
	}
	r.e.observeNotice(t, r.e.deps.Dialect.DecodeResponse(answer.status, answer.header).Notice)
	report, ok := r.e.deps.Dialect.DecodeReport(answer.body)
	said := selfDescription{leaving: report.Leaving, named: true, same: true}
	if t.Incarnation != 0 {
		// Otherwise it has a new id after each start, so another process has another record.
		said.named, said.same = ok && answer.status == http.StatusOK, report.Incarnation == t.Incarnation
	}
	process := r.judge(t, said)
	if process == completion.Unknown {
		return process, fault.Wrap("reportReader.processOf", upstream.ConnectionLost, errNoReport)
	}
	if process == completion.Replaced && ok {
		r.e.observeProcess(t, report.Incarnation)
	}
	return process, nil
}

// selfDescription is what a process says about itself.
type selfDescription struct {
	leaving bool
	// named says that it named itself, and same that this is the name of the target's record.
	named, same bool
}

// leaves reports whether a target is known to be leaving, or to have left.
func (r *reportReader) leaves(t *catalog.Target) bool {
	current := r.e.directory.View().Targets[t.Service].Find(t.ID)
	return current == nil || current.State != catalog.Ready || r.e.withdrawn.Leaving(t.Key())
}

// judge returns which process serves at a target, by what it says and by the target's record. The end of a
// target that was known to leave does not count as a loss.
func (r *reportReader) judge(t *catalog.Target, said selfDescription) completion.Process {
	current := r.e.directory.View().Targets[t.Service].Find(t.ID)
	recorded := current != nil && current.Incarnation == t.Incarnation
	leaving := said.leaving || r.e.withdrawn.Leaving(t.Key()) || current == nil || (recorded && current.State != catalog.Ready)
	switch {
	case leaving && said.named && said.same && (recorded || current == nil):
		return completion.Leaving
	case leaving:
		return completion.Gone
	case said.named && !said.same, !recorded:
		return completion.Replaced
	case !said.named:
		return completion.Unknown
	}
	return completion.Serving
}

// read reads one report. Without one, a record of another process tells.
func (r *reportReader) read(t *catalog.Target) processReport {
	ctx, cancel := context.WithTimeout(context.Background(), copyCallTimeout)
	defer cancel()
	if start, _ := r.ask(ctx, t); start != 0 {
		if start == t.Incarnation {
			return processReport{confirmed, start}
		}
		r.e.observeProcess(t, start)
		return processReport{replaced, start}
	}
	if current := r.e.directory.View().Targets[t.Service].Find(t.ID); current != nil && current.Incarnation != t.Incarnation {
		return processReport{result: replaced}
	}
	return processReport{result: unconfirmed}
}
