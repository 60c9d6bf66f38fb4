package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// StepTiming holds the durations of one batch job from its submission to its end,
// and those of the item that it waited for longest.
type StepTiming struct {
	Job   string
	Model string
	// Number is the trainer's step number, starting at 0.
	Number int
	// Submitted is the time of the job's submission.
	Submitted time.Time
	// Ready is the time from submission until all items of the wanted groups were
	// completed, Finished until the last of these was logged as finished, Ended until
	// the trainer ended the job. Each is 0 if the logs don't show it.
	Ready, Finished, Ended time.Duration
	// Last is the item of the wanted groups that was completed last.
	Last LastItem
}

// LastItem describes the item that a step waited for.
type LastItem struct {
	Item   string
	Events int
	// Attempts is the number of attempts up to completion; Servers are the servers
	// that ran them.
	Attempts int
	Servers  []string
	// StartDelay is the time from the job's submission to the first attempt, IdleTime
	// the time between attempts, RunTime the total time of all attempts, and Floor
	// the time that the item's events take at the speed of the fastest engine in the
	// logs.
	StartDelay, IdleTime, RunTime, Floor time.Duration
}

// Log messages that steps are measured by.
const (
	messageJobSubmitted = "batch job submitted"
	messageJobEnded     = "batch job ended"
	messageAttemptEnded = "item attempt ended"
	messageItemFinished = "item finished"
)

// minSampleEvents is the number of events that an attempt needs to count as a sample
// of an engine's time per event.
const minSampleEvents = 20

// attempt is one attempt of an item.
type attempt struct {
	started, ended time.Time
	events         int
	server         string
	completed      bool
}

// jobLog collects the log entries of a job.
type jobLog struct {
	timing       StepTiming
	wantedGroups int
	attempts     map[string][]attempt
	groups       map[string][]string
	finished     map[string]time.Time
	ended        time.Time
}

// Steps returns the timings of the steps that are completely in the logs, sorted by
// model and step number.
func Steps(entries []Entry) []StepTiming {
	jobs := make(map[string]*jobLog)
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, compareByTime)
	for _, entry := range entries {
		addEntry(jobs, entry)
	}
	timePerEvent := minTimePerEvent(jobs)
	var timings []StepTiming
	for _, job := range jobs {
		if timing, complete := job.measure(timePerEvent); complete {
			timings = append(timings, timing)
		}
	}
	slices.SortFunc(timings, func(a, b StepTiming) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Number, b.Number), cmp.Compare(a.Job, b.Job))
	})
	return timings
}

func addEntry(jobs map[string]*jobLog, entry Entry) {
	id := entry.ids["job"]
	if id == "" {
		return
	}
	job := jobs[id]
	if job == nil {
		job = &jobLog{attempts: make(map[string][]attempt), groups: make(map[string][]string), finished: make(map[string]time.Time)}
		jobs[id] = job
	}
	item := entry.ids["item"]
	switch entry.Message {
	case messageJobSubmitted:
		if job.timing.Submitted.IsZero() {
			job.timing = StepTiming{Job: id, Model: entry.stringField("model"), Number: entry.intField("step"), Submitted: entry.Time}
			job.wantedGroups = entry.intField("wanted_groups")
		}
	case messageJobEnded:
		if job.ended.IsZero() {
			job.ended = entry.Time
		}
	case messageItemFinished:
		if _, finished := job.finished[item]; !finished {
			job.finished[item] = entry.Time
		}
	case messageAttemptEnded:
		if len(job.attempts[item]) == 0 {
			group := entry.stringField("group")
			job.groups[group] = append(job.groups[group], item)
		}
		took := time.Duration(entry.intField("took")) * time.Millisecond
		job.attempts[item] = append(job.attempts[item], attempt{
			started: entry.Time.Add(-took), ended: entry.Time, events: entry.intField("events"),
			server: entry.stringField("server"), completed: entry.stringField("reason") == "completed",
		})
	}
}

func (e Entry) stringField(field string) string {
	text, _ := e.Fields[field].(string)
	return text
}

func (e Entry) intField(field string) int {
	number, _ := e.Fields[field].(float64)
	return int(number)
}

// minTimePerEvent returns the shortest time per event of all completed attempts
// with at least minSampleEvents events.
func minTimePerEvent(jobs map[string]*jobLog) time.Duration {
	fastest := time.Duration(0)
	for _, job := range jobs {
		for _, attempts := range job.attempts {
			for _, attempt := range attempts {
				if attempt.events < minSampleEvents || !attempt.completed {
					continue
				}
				timePerEvent := attempt.ended.Sub(attempt.started) / time.Duration(attempt.events)
				if fastest == 0 || timePerEvent < fastest {
					fastest = timePerEvent
				}
			}
		}
	}
	return fastest
}

// measure computes a step's timing; complete is false if the logs don't show that
// the wanted groups were completed.
func (j *jobLog) measure(timePerEvent time.Duration) (timing StepTiming, complete bool) {
	type groupEnd struct {
		item string
		at   time.Time
	}
	var ends []groupEnd
	for _, items := range j.groups {
		last := groupEnd{}
		for _, item := range items {
			at := completedAt(j.attempts[item])
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
	if j.timing.Submitted.IsZero() || j.wantedGroups == 0 || len(ends) < j.wantedGroups {
		return StepTiming{}, false
	}
	slices.SortFunc(ends, func(a, b groupEnd) int { return a.at.Compare(b.at) })
	last := ends[j.wantedGroups-1]
	timing = j.timing
	timing.Ready = last.at.Sub(timing.Submitted)
	timing.Last = newLastItem(last.item, timing.Submitted, j.attempts[last.item], timePerEvent)
	if at, finished := j.finished[last.item]; finished {
		timing.Finished = at.Sub(timing.Submitted)
	}
	if !j.ended.IsZero() {
		timing.Ended = j.ended.Sub(timing.Submitted)
	}
	return timing, true
}

// completedAt returns the time at which an item was completed, zero if it wasn't.
func completedAt(attempts []attempt) time.Time {
	for _, attempt := range attempts {
		if attempt.completed {
			return attempt.ended
		}
	}
	return time.Time{}
}

func newLastItem(item string, submitted time.Time, attempts []attempt, timePerEvent time.Duration) LastItem {
	lastItem := LastItem{Item: item, StartDelay: attempts[0].started.Sub(submitted)}
	previousEnd := attempts[0].started
	for _, attempt := range attempts {
		lastItem.Attempts++
		lastItem.Events += attempt.events
		lastItem.Servers = append(lastItem.Servers, attempt.server)
		lastItem.IdleTime += max(attempt.started.Sub(previousEnd), 0)
		lastItem.RunTime += attempt.ended.Sub(attempt.started)
		previousEnd = attempt.ended
		if attempt.completed {
			break
		}
	}
	lastItem.Floor = time.Duration(lastItem.Events) * timePerEvent
	return lastItem
}

// WriteSteps prints the timings as a table in seconds, with their means.
func WriteSteps(w io.Writer, timings []StepTiming) error {
	if len(timings) == 0 {
		_, err := fmt.Fprintln(w, "no whole step is in the logs")
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "model\tstep\tjob\tposted\tfloor\tlate start\tbetween runs\tslow\tready\tlisted\tended\truns\tlast item\t")
	var total StepTiming
	for _, timing := range timings {
		last := timing.Last
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%d\t%s\t\n", timing.Model, timing.Number, timing.Job, timing.Submitted.Format(clockLayout),
			timing.formatTimes(), last.Attempts, last.Item)
		total.Ready, total.Finished, total.Ended = total.Ready+timing.Ready, total.Finished+timing.Finished, total.Ended+timing.Ended
		total.Last.StartDelay, total.Last.IdleTime = total.Last.StartDelay+last.StartDelay, total.Last.IdleTime+last.IdleTime
		total.Last.RunTime, total.Last.Floor = total.Last.RunTime+last.RunTime, total.Last.Floor+last.Floor
	}
	fmt.Fprintf(table, "mean\t%d\t\t\t%s\t\t\t\n", len(timings), total.dividedBy(len(timings)).formatTimes())
	return table.Flush()
}

// formatTimes formats the duration columns of the table.
func (t StepTiming) formatTimes() string {
	seconds := func(duration time.Duration) string { return fmt.Sprintf("%.2f", duration.Seconds()) }
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", seconds(t.Last.Floor), seconds(t.Last.StartDelay), seconds(t.Last.IdleTime),
		seconds(t.Last.RunTime-t.Last.Floor), seconds(t.Ready), seconds(t.Finished), seconds(t.Ended))
}

func (t StepTiming) dividedBy(count int) StepTiming {
	n := time.Duration(count)
	return StepTiming{Ready: t.Ready / n, Finished: t.Finished / n, Ended: t.Ended / n, Last: LastItem{
		StartDelay: t.Last.StartDelay / n, IdleTime: t.Last.IdleTime / n, RunTime: t.Last.RunTime / n, Floor: t.Last.Floor / n,
	}}
}
