package anvilcontrol

import (
	"embed"
	"errors"
	"fmt"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilevent"
)

//go:embed charts/*.toml
var chartFiles embed.FS

// charts holds the state charts, and the actions and guards of the loop that they are bound to.
type charts struct {
	task     *anvilchart.Chart
	run      *anvilchart.Chart
	worker   *anvilchart.Chart
	shard    *anvilchart.Chart
	instance *anvilchart.Chart
	config   *anvilchart.Chart

	taskBinding     *anvilchart.Binding[*job]
	runBinding      *anvilchart.Binding[*run]
	workerBinding   *anvilchart.Binding[*worker]
	shardBinding    *anvilchart.Binding[*shard]
	instanceBinding *anvilchart.Binding[*Loop]
	configBinding   *anvilchart.Binding[*Loop]
}

// ChartNames returns the names of the state charts of an entry instance.
func ChartNames() []string {
	return []string{"task", "run", "worker", "shard", "instance", "config"}
}

// ChartText returns the source file of a chart. It fails if no chart has the name.
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
		taskBinding:     l.bindTask(),
		runBinding:      l.bindRun(),
		workerBinding:   l.bindWorker(),
		shardBinding:    l.bindShard(),
		instanceBinding: l.bindInstance(),
		configBinding:   l.bindConfig(),
	}
	for _, load := range []struct {
		name    string
		binding anvilchart.Names
		chart   **anvilchart.Chart
	}{
		{"task", c.taskBinding, &c.task},
		{"run", c.runBinding, &c.run},
		{"worker", c.workerBinding, &c.worker},
		{"shard", c.shardBinding, &c.shard},
		{"instance", c.instanceBinding, &c.instance},
		{"config", c.configBinding, &c.config},
	} {
		chart, err := loadChart(load.name, load.binding)
		if err != nil {
			return err
		}
		*load.chart = chart
	}
	l.charts = c
	l.instance.machine = c.instance.NewMachine()
	l.config.machine = c.config.NewMachine()
	return nil
}

// fire applies an event. Every chart handles or ignores each event in each state, so a refused event is a bug in this
// package.
func fire[T any](l *Loop, m *anvilchart.Machine, b *anvilchart.Binding[T], event string, v T) {
	if err := anvilchart.Fire(m, b, event, v); err != nil {
		var ee *anvilchart.EventError
		if errors.As(err, &ee) {
			l.log.Record(anvilevent.ChartRefused, "chart", ee.Chart(), "state", ee.State(), "input", ee.Event())
			l.invariants.Check(false, "chart", "%v", ee)
		}
	}
}

func (l *Loop) fireTask(j *job, event string) { fire(l, &j.machine, l.charts.taskBinding, event, j) }
func (l *Loop) fireRun(r *run, event string)  { fire(l, &r.machine, l.charts.runBinding, event, r) }
func (l *Loop) fireShard(s *shard, event string) {
	fire(l, &s.machine, l.charts.shardBinding, event, s)
}

func (l *Loop) fireWorker(w *worker, event string) {
	fire(l, &w.machine, l.charts.workerBinding, event, w)
}

func (l *Loop) fireInstance(event string) {
	fire(l, &l.instance.machine, l.charts.instanceBinding, event, l)
}

func (l *Loop) fireConfig(event string) {
	fire(l, &l.config.machine, l.charts.configBinding, event, l)
}
