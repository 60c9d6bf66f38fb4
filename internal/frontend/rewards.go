package frontend

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/coordinator"
	"dalehook/internal/gateway"
	"dalehook/internal/reward"
	"dalehook/internal/routetable"
)

// rewardCaller sends reward calls through the gateway, which applies its routing and retry rules.
type rewardCaller struct {
	gateway *gateway.Gateway
	logger  *zap.Logger
}

var _ coordinator.Rewards = (*rewardCaller)(nil)

// Score implements coordinator.Rewards. The score of an item is the signature of the response.
func (r *rewardCaller) Score(ctx context.Context, send reward.Send) reward.Answer {
	began := clock.Now()
	result := r.gateway.SendInternal(ctx, gateway.InternalRequest{
		Request: &gateway.Request{
			ID: send.Call.ID, Method: http.MethodPost, Target: send.Call.Path, Host: send.Call.Host,
			Header: make(http.Header), Body: send.Call.Body, Received: began, Deadline: send.Deadline,
			Caller: routetable.Caller{Tenant: send.Item.Tenant, Priority: send.Table.PriorityOf(send.Route, send.Item.Tenant)},
		},
		Table: send.Table, Route: send.Route, Service: send.Service,
	})
	r.logger.Info("reward call answered", zap.String("job", send.Item.JobID), zap.String("item", send.Item.ItemID),
		zap.String("request", send.Call.ID), zap.Bool("scored", result.Signature != ""),
		zap.String("route", send.Route.Name), zap.String("service", send.Service),
		zap.Int64("configuration", send.Table.Version), zap.Strings("servers", result.Servers),
		zap.Int("try", send.Inputs.Try), zap.Int("failures", send.Inputs.Failures+result.Failures),
		zap.Int("under_way", send.Inputs.InFlight), zap.Int("room", send.Inputs.Capacity),
		zap.Duration("waited", send.Inputs.Waited), zap.Duration("took", clock.Since(began)), zap.String("reason", result.Reason))
	return reward.Answer{Score: result.Signature, Failures: result.Failures}
}
