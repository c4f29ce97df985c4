package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

const (
	// surveyMaxAge is how long the results of a survey are used.
	surveyMaxAge = 2 * buckthorndyke.Second
	// surveyTimeout is the time limit of a survey. It is short compared with the time to load a
	// model.
	surveyTimeout = 100 * buckthorndyke.Millisecond
)

type (
	// surveyResultMessage delivers the results of a survey.
	surveyResultMessage struct {
		at       buckthorndyke.Millis
		model    buckthorndyke.ModelID
		statuses []runnerStatus
	}

	// surveyMessage asks for a survey, which reads the status of a model's runners, and
	// for the state after it. Requests that ask at the same time share one survey.
	surveyMessage struct {
		model   buckthorndyke.ModelID
		reply   mailer.Reply[routerState]
		runners []buckthorndyke.Ownership
	}

	// runnerStatus is the status of one runner's engine.
	runnerStatus struct {
		runner buckthorndyke.RunnerID
		status buckthorndyke.EngineStatus
	}
)

func (m surveyResultMessage) act(_ context.Context, r *Router) {
	for _, reply := range r.surveys[m.model] {
		reply.Answer(r.state)
	}
	delete(r.surveys, m.model)
}

func (m surveyResultMessage) apply(st routerState) routerState {
	st.surveyedAt = st.surveyedAt.With(m.model, m.at)
	for _, s := range m.statuses {
		st.incarnations = st.incarnations.With(s.runner, s.status.Incarnation)
		st.tiers = st.tiers.With(s.runner, s.status.Cached)
		report, _ := st.reports.Get(s.runner)
		st.reports = st.reports.With(s.runner, s.updateReport(report))
	}
	return st
}

func (m surveyMessage) act(ctx context.Context, r *Router) {
	if r.state.hasFreshSurvey(m.model, r.clock.Now()) {
		m.reply.Answer(r.state)
		return
	}
	waiting, running := r.surveys[m.model]
	r.surveys[m.model] = append(waiting, m.reply)
	if running {
		return
	}
	go func() {
		// Send fails only if the router's task has ended.
		_ = r.box.Send(ctx, surveyResultMessage{
			at: r.clock.Now(), model: m.model, statuses: r.survey(ctx, m.runners),
		})
	}()
}

func (m surveyMessage) apply(st routerState) routerState {
	return st
}

// updateReport returns report with the models that the runner has loaded or is
// loading. Both count as loaded, since a request can join a load in progress.
func (s runnerStatus) updateReport(report buckthorndyke.RunnerReport) buckthorndyke.RunnerReport {
	report.Residents = nil
	for _, r := range s.status.Residents {
		report.Residents = append(report.Residents, r.Model)
	}
	report.Runner = s.runner
	report.Slots = s.status.Slots
	return report
}

// survey reads the status of all engines of runners concurrently. Engines that do not
// reply in time are left out.
func (r *Router) survey(ctx context.Context, runners []buckthorndyke.Ownership) []runnerStatus {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout.Duration())
	defer cancel()
	found := make(chan *runnerStatus, len(runners))
	for _, o := range runners {
		go func() {
			status, err := r.engines.At(o.Address).Status(ctx)
			if err != nil {
				found <- nil
				return
			}
			found <- &runnerStatus{runner: o.Runner, status: status}
		}()
	}
	var statuses []runnerStatus
	for range runners {
		select {
		case s := <-found:
			if s != nil {
				statuses = append(statuses, *s)
			}
		case <-ctx.Done():
			return statuses
		}
	}
	return statuses
}

// hasFreshSurvey reports whether the last survey of the model's runners can still be
// used.
func (st routerState) hasFreshSurvey(model buckthorndyke.ModelID, now buckthorndyke.Millis) bool {
	at, ok := st.surveyedAt.Get(model)
	return ok && now-at < surveyMaxAge
}

// ensureSurvey returns a state with a fresh survey if the request needs one: if no live
// runner has loaded the model and several could load it, the survey shows which of them
// can load its weights from the fastest tier. Otherwise it returns st.
func (g *generateTask) ensureSurvey(ctx context.Context, st routerState) (routerState, error) {
	now := g.clock.Now()
	if st.hasFreshSurvey(g.request.Model, now) {
		return st, nil
	}
	var cold []buckthorndyke.Ownership
	for _, c := range st.candidates(g.request, now) {
		if c.Live && c.Loaded {
			return st, nil
		}
		if c.Live {
			ownership, _ := st.update.State.OwnershipOf(c.Runner)
			cold = append(cold, ownership)
		}
	}
	if len(cold) < 2 {
		return st, nil
	}
	return mailer.Ask(ctx, g.box, func(reply mailer.Reply[routerState]) message {
		return surveyMessage{model: g.request.Model, reply: reply, runners: cold}
	})
}
