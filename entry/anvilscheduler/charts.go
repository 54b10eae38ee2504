package anvilscheduler

import (
	"embed"
	"errors"
	"fmt"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilevent"
)

//go:embed charts/*.toml
var chartFiles embed.FS

// charts holds the state charts and the bindings of their actions and guards to this package's code.
type charts struct {
	leadership *anvilchart.Chart
	worker     *anvilchart.Chart
	task       *anvilchart.Chart
	job        *anvilchart.Chart
	evacuation *anvilchart.Chart
	guard      *anvilchart.Chart

	leadershipBinding *anvilchart.Binding[*Loop]
	workerBinding     *anvilchart.Binding[*worker]
	taskBinding       *anvilchart.Binding[*task]
	jobBinding        *anvilchart.Binding[*job]
	evacuationBinding *anvilchart.Binding[*evacuation]
	guardBinding      *anvilchart.Binding[*guard]
}

// ChartNames returns the names of the state charts, which ChartText accepts.
func ChartNames() []string { return []string{"tenure", "worker", "task", "job", "evacuation", "guard"} }

// ChartText returns the content of a chart's file. It fails for an unknown name.
func ChartText(name string) (string, error) {
	b, err := chartFiles.ReadFile("charts/" + name + ".toml")
	if err != nil {
		return "", fmt.Errorf("no chart %q: %w", name, err)
	}
	return string(b), nil
}

func loadChart(name string, names anvilchart.Names) (*anvilchart.Chart, error) {
	text, err := ChartText(name)
	if err != nil {
		return nil, err
	}
	return anvilchart.Load("charts/"+name+".toml", text, names)
}

func (l *Loop) loadCharts() error {
	c := &charts{
		leadershipBinding: l.bindLeadership(), workerBinding: l.bindWorker(), taskBinding: l.bindTask(), jobBinding: l.bindJob(),
		evacuationBinding: l.bindEvacuation(), guardBinding: bindGuard(),
	}
	var errs [6]error
	c.leadership, errs[0] = loadChart("tenure", c.leadershipBinding)
	c.worker, errs[1] = loadChart("worker", c.workerBinding)
	c.task, errs[2] = loadChart("task", c.taskBinding)
	c.job, errs[3] = loadChart("job", c.jobBinding)
	c.evacuation, errs[4] = loadChart("evacuation", c.evacuationBinding)
	c.guard, errs[5] = loadChart("guard", c.guardBinding)
	l.charts = c
	return errors.Join(errs[:]...)
}

func (l *Loop) fireLeadership(event string) {
	l.reportRefusedEvent(anvilchart.Fire(&l.leadership.machine, l.charts.leadershipBinding, event, l))
}

func (l *Loop) fireWorker(w *worker, event string) {
	l.reportRefusedEvent(anvilchart.Fire(&w.machine, l.charts.workerBinding, event, w))
}

func (l *Loop) fireTask(t *task, event string) {
	l.reportRefusedEvent(anvilchart.Fire(&t.machine, l.charts.taskBinding, event, t))
}

func (l *Loop) fireJob(j *job, event string) {
	l.reportRefusedEvent(anvilchart.Fire(&j.machine, l.charts.jobBinding, event, j))
}

func (l *Loop) fireEvacuation(e *evacuation, event string) {
	l.reportRefusedEvent(anvilchart.Fire(&e.machine, l.charts.evacuationBinding, event, e))
}

func (l *Loop) fireGuard(g *guard, event string) {
	l.reportRefusedEvent(anvilchart.Fire(&g.machine, l.charts.guardBinding, event, g))
}

// reportRefusedEvent logs and counts an event that the chart does not allow in the present state. The state does not
// change.
func (l *Loop) reportRefusedEvent(err error) {
	if err != nil {
		l.log.Fault(anvilevent.ChartRefused, err)
		l.meter.Count("chart.refused")
	}
}
