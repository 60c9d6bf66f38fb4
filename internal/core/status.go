package core

import (
	"dalehook/internal/machine"
)

// status describes the node as it sees itself and the others.
func (c *Core) status() machine.StatusReport {
	control := c.follower.Control()
	report := machine.StatusReport{
		Node: c.options.Self, Revision: control.Revision(), ControlOffset: control.Offset(), View: control.View(),
		Leaving: c.leave.started(), StoreDown: c.follower.StoreDown(),
		// Empty lists are lists in JSON too.
		Members: []machine.MemberStatus{}, Backends: []machine.BackendStatus{},
		Events: []machine.EventStatus{}, Steps: []machine.StepStatus{},
	}
	report.Steps = append(report.Steps, c.rollout.Status()...)
	for _, member := range c.membership.Members() {
		report.Members = append(report.Members, machine.MemberStatus{
			ID: member.ID, Incarnation: member.Incarnation, Zone: member.Zone, State: member.State.String(),
		})
	}
	for _, backend := range c.pool.All() {
		report.Backends = append(report.Backends, machine.BackendStatus{
			ID: backend.ID, Kind: backend.Kind, Pool: backend.Pool, Zone: backend.Zone, State: backend.State,
			Running: backend.Report.Running, Waiting: backend.Report.Waiting,
			Model: backend.Report.Model, Version: backend.Report.Version, Unreported: backend.ReportAt.IsZero(),
		})
	}
	for _, event := range control.Events() {
		report.Events = append(report.Events, machine.EventStatus{
			Name: event.Plan.Event.Name, Digest: event.Plan.Digest, Revision: event.Revision, Start: event.Plan.Event.Start,
		})
	}
	return report
}
