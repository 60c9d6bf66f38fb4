package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Step is the time of one batch job, from its submission to its end, and of the item that it
// waited for longest.
type Step struct {
	Job   string
	Model string
	// Number counts the steps of a trainer from 0.
	Number int
	// Posted is when the job was submitted.
	Posted time.Time
	// Ready is from then until the wanted groups had all their texts, Listed until the last of
	// these stood in the log, Ended until the trainer ended the job; 0 where that is not in the
	// logs.
	Ready, Listed, Ended time.Duration
	// Last is the item that was ready last of the wanted groups.
	Last LastItem
}

// LastItem is the item that a step waited for.
type LastItem struct {
	Item   string
	Events int
	// Runs is the number of runs that made its text, Servers are where.
	Runs    int
	Servers []string
	// Start is from the job's submission to the first run, Between the time between runs,
	// Running that of all runs, Floor what its events take at the fastest engine of the logs.
	Start, Between, Running, Floor time.Duration
}

// The messages that tell of steps.
const (
	messageSubmitted = "batch job submitted"
	messageEnded     = "batch job ended"
	messageRun       = "item attempt ended"
	messageListed    = "item finished"
)

// paceEvents is the number of events from which on a run tells an engine's pace.
const paceEvents = 20

// run is one run of an item.
type run struct {
	began, ended time.Time
	events       int
	server       string
	completed    bool
}

// jobLines is what the logs say of a job.
type jobLines struct {
	step   Step
	wanted int
	runs   map[string][]run
	groups map[string][]string
	listed map[string]time.Time
	ended  time.Time
}

// Steps returns the steps that the logs hold whole, by model and number.
func Steps(lines []Line) []Step {
	jobs := make(map[string]*jobLines)
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, byTime)
	for _, line := range lines {
		collect(jobs, line)
	}
	pace := fastestPace(jobs)
	var steps []Step
	for _, job := range jobs {
		if step, whole := job.measure(pace); whole {
			steps = append(steps, step)
		}
	}
	slices.SortFunc(steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Number, b.Number), cmp.Compare(a.Job, b.Job))
	})
	return steps
}

func collect(jobs map[string]*jobLines, line Line) {
	id := line.about["job"]
	if id == "" {
		return
	}
	job := jobs[id]
	if job == nil {
		job = &jobLines{runs: make(map[string][]run), groups: make(map[string][]string), listed: make(map[string]time.Time)}
		jobs[id] = job
	}
	item := line.about["item"]
	switch line.Message {
	case messageSubmitted:
		if job.step.Posted.IsZero() {
			job.step = Step{Job: id, Model: line.text("model"), Number: line.number("step"), Posted: line.Time}
			job.wanted = line.number("wanted_groups")
		}
	case messageEnded:
		if job.ended.IsZero() {
			job.ended = line.Time
		}
	case messageListed:
		if _, known := job.listed[item]; !known {
			job.listed[item] = line.Time
		}
	case messageRun:
		if len(job.runs[item]) == 0 {
			group := line.text("group")
			job.groups[group] = append(job.groups[group], item)
		}
		took := time.Duration(line.number("took")) * time.Millisecond
		job.runs[item] = append(job.runs[item], run{
			began: line.Time.Add(-took), ended: line.Time, events: line.number("events"),
			server: line.text("server"), completed: line.text("reason") == "completed",
		})
	}
}

func (l Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

func (l Line) number(field string) int {
	number, _ := l.Fields[field].(float64)
	return int(number)
}

// fastestPace returns the shortest time for an event of all runs that are long enough.
func fastestPace(jobs map[string]*jobLines) time.Duration {
	fastest := time.Duration(0)
	for _, job := range jobs {
		for _, runs := range job.runs {
			for _, made := range runs {
				if made.events < paceEvents || !made.completed {
					continue
				}
				pace := made.ended.Sub(made.began) / time.Duration(made.events)
				if fastest == 0 || pace < fastest {
					fastest = pace
				}
			}
		}
	}
	return fastest
}

// measure tells a step's times; whole is false where its wanted groups did not become ready in
// the logs.
func (j *jobLines) measure(pace time.Duration) (step Step, whole bool) {
	type groupEnd struct {
		item string
		at   time.Time
	}
	var ends []groupEnd
	for _, items := range j.groups {
		last := groupEnd{}
		for _, item := range items {
			at := readyAt(j.runs[item])
			if at.IsZero() {
				last = groupEnd{}
				break
			}
			if at.After(last.at) {
				last = groupEnd{item: item, at: at}
			}
		}
		if !last.at.IsZero() {
			ends = append(ends, last)
		}
	}
	if j.step.Posted.IsZero() || j.wanted == 0 || len(ends) < j.wanted {
		return Step{}, false
	}
	slices.SortFunc(ends, func(a, b groupEnd) int { return a.at.Compare(b.at) })
	last := ends[j.wanted-1]
	step = j.step
	step.Ready = last.at.Sub(step.Posted)
	step.Last = lastItem(last.item, step.Posted, j.runs[last.item], pace)
	if at, listed := j.listed[last.item]; listed {
		step.Listed = at.Sub(step.Posted)
	}
	if !j.ended.IsZero() {
		step.Ended = j.ended.Sub(step.Posted)
	}
	return step, true
}

// readyAt returns when an item's text was whole; zero when it was not.
func readyAt(runs []run) time.Time {
	for _, made := range runs {
		if made.completed {
			return made.ended
		}
	}
	return time.Time{}
}

func lastItem(item string, posted time.Time, runs []run, pace time.Duration) LastItem {
	last := LastItem{Item: item, Start: runs[0].began.Sub(posted)}
	before := runs[0].began
	for _, made := range runs {
		last.Runs++
		last.Events += made.events
		last.Servers = append(last.Servers, made.server)
		last.Between += max(made.began.Sub(before), 0)
		last.Running += made.ended.Sub(made.began)
		before = made.ended
		if made.completed {
			break
		}
	}
	last.Floor = time.Duration(last.Events) * pace
	return last
}

// WriteSteps prints steps as a table, in seconds, and their means.
func WriteSteps(w io.Writer, steps []Step) error {
	if len(steps) == 0 {
		_, err := fmt.Fprintln(w, "no whole step is in the logs")
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "model\tstep\tjob\tposted\tfloor\tlate start\tbetween runs\tslow\tready\tlisted\tended\truns\tlast item\t")
	var sum Step
	for _, step := range steps {
		last := step.Last
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%d\t%s\t\n", step.Model, step.Number, step.Job, step.Posted.Format(clockLayout),
			step.columns(), last.Runs, last.Item)
		sum.Ready, sum.Listed, sum.Ended = sum.Ready+step.Ready, sum.Listed+step.Listed, sum.Ended+step.Ended
		sum.Last.Start, sum.Last.Between = sum.Last.Start+last.Start, sum.Last.Between+last.Between
		sum.Last.Running, sum.Last.Floor = sum.Last.Running+last.Running, sum.Last.Floor+last.Floor
	}
	fmt.Fprintf(table, "mean\t%d\t\t\t%s\t\t\t\n", len(steps), sum.dividedBy(len(steps)).columns())
	return table.Flush()
}

// columns renders the times of a step that the table shows.
func (s Step) columns() string {
	seconds := func(length time.Duration) string { return fmt.Sprintf("%.2f", length.Seconds()) }
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", seconds(s.Last.Floor), seconds(s.Last.Start), seconds(s.Last.Between),
		seconds(s.Last.Running-s.Last.Floor), seconds(s.Ready), seconds(s.Listed), seconds(s.Ended))
}

func (s Step) dividedBy(count int) Step {
	n := time.Duration(count)
	return Step{Ready: s.Ready / n, Listed: s.Listed / n, Ended: s.Ended / n, Last: LastItem{
		Start: s.Last.Start / n, Between: s.Last.Between / n, Running: s.Last.Running / n, Floor: s.Last.Floor / n,
	}}
}
