package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/dispatch"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/prompt"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
	// assumedOutputTokens is the estimated number of output tokens of calls without a token limit.
	assumedOutputTokens = 256
	// inputTokenTolerance is the factor by which the estimated input tokens may exceed the model's limit. The estimate is
	// inexact; the engine enforces the exact limit.
	inputTokenTolerance = 2
)

func (s *Server) serveChat(r *request) *problem.Problem {
	return s.serveModel(r, pathChat, true)
}

func (s *Server) serveCompletion(r *request) *problem.Problem {
	return s.serveModel(r, pathCompletion, false)
}

func (s *Server) serveModel(r *request, path string, chat bool) *problem.Problem {
	body, prob := r.body()
	if prob != nil {
		return prob
	}
	parsed, prob := parseInference(body, chat)
	if prob != nil {
		return prob
	}
	call, prob := r.newModelCall(parsed, path, body)
	if prob != nil {
		return prob
	}
	ctx, cancel := context.WithDeadline(s.ctx, call.Request.Deadline)
	s.cancelOnDisconnect(ctx, cancel, r.c.RequestCtx().Conn())
	if parsed.stream {
		return s.stream(ctx, cancel, r, call)
	}
	defer cancel()
	response, prob := s.options.Models.Complete(ctx, call)
	if prob != nil {
		return prob
	}
	r.c.Status(response.Status)
	r.c.Set(fiber.HeaderContentType, response.ContentType)
	r.c.Response().SetBodyRaw(response.Body)
	return nil
}

// findModel resolves a model id to the model and, if the id names an adapter, the adapter's name. Models that the
// member may not call are reported as not found, so that their existence is not revealed.
func (r *request) findModel(id string) (*config.Model, string, *problem.Problem) {
	if adapter := r.snapshot.Adapter(id); adapter != nil && adapter.MayCall(r.member.Name) {
		if model := r.snapshot.Model(adapter.Model); model != nil {
			return model, adapter.Name, nil
		}
	}
	if model := r.snapshot.Model(id); model != nil && model.MayCall(r.member.Name) {
		return model, "", nil
	}
	return nil, "", problem.New(problem.TypeModelNotFound, fiber.StatusNotFound, problem.NotRun,
		fmt.Sprintf("There is no model %q that this member may call.", id))
}

func (r *request) newModelCall(parsed inferenceParams, path string, body []byte) (dispatch.ModelCall, *problem.Problem) {
	model, adapter, prob := r.findModel(parsed.model)
	if prob != nil {
		return dispatch.ModelCall{}, prob
	}
	if model.MaxOutputTokens > 0 && parsed.maxTokens > model.MaxOutputTokens {
		return dispatch.ModelCall{}, invalidRequest(fmt.Sprintf("The token limit %d exceeds the model's limit of %d.",
			parsed.maxTokens, model.MaxOutputTokens))
	}
	digest := prompt.NewDigest(parsed.model, parsed.messages)
	if model.MaxInputTokens > 0 && digest.Tokens > inputTokenTolerance*model.MaxInputTokens {
		return dispatch.ModelCall{}, invalidRequest(fmt.Sprintf("The prompt has about %d tokens; the model's limit is %d.",
			digest.Tokens, model.MaxInputTokens))
	}
	deadline, prob := r.deadline(config.Milliseconds(model.DefaultTimeoutMs), config.Milliseconds(model.MaxTimeoutMs))
	if prob != nil {
		return dispatch.ModelCall{}, prob
	}
	return dispatch.ModelCall{
		Path: path,
		Body: body,
		Request: scheduling.Request{
			ID:           r.callID,
			Member:       r.member.Name,
			Service:      model.Service,
			Model:        model.Name,
			Adapter:      adapter,
			InputTokens:  digest.Tokens,
			OutputTokens: outputTokens(parsed, model),
			PrefixHashes: digest.PrefixHashes,
			Bytes:        len(body),
			Priority:     model.Priority,
			Deadline:     deadline,
		},
	}, nil
}

func outputTokens(parsed inferenceParams, model *config.Model) int {
	switch {
	case parsed.maxTokens > 0:
		return parsed.maxTokens
	case model.MaxOutputTokens > 0:
		return min(assumedOutputTokens, model.MaxOutputTokens)
	default:
		return assumedOutputTokens
	}
}

// stream waits for the first chunk and then responds with server-sent events.
func (s *Server) stream(ctx context.Context, cancel context.CancelFunc, r *request, call dispatch.ModelCall) *problem.Problem {
	modelStream, prob := s.options.Models.Open(ctx, call)
	if prob != nil {
		cancel()
		return prob
	}
	r.streaming = true
	r.c.Set(fiber.HeaderContentType, "text/event-stream")
	r.c.Set(fiber.HeaderCacheControl, "no-cache")
	body := &eventBody{server: s, requestID: r.id, stream: modelStream, cancel: cancel, endRequest: func() { r.end(s) }}
	r.c.Response().SetBodyStream(body, -1)
	return nil
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	// Created is the time at which the configuration was accepted, in Unix seconds.
	Created int64 `json:"created"`
}

func (s *Server) serveModels(r *request) *problem.Problem {
	entries := []modelEntry{}
	created := r.snapshot.CommittedAt.Unix()
	if r.snapshot.CommittedAt.Equal(time.Time{}) {
		created = 0
	}
	for _, id := range r.snapshot.ModelIDsFor(r.member.Name) {
		entries = append(entries, modelEntry{ID: id, Object: "model", OwnedBy: "mulberryglade", Created: created})
	}
	return writeJSON(r.c, map[string]any{"object": "list", "data": entries})
}
