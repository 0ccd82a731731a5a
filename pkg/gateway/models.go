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
	// expectedOutputTokens is assumed for calls without a limit.
	expectedOutputTokens = 256
	// inputTolerance is the factor by which the estimate of the input tokens may exceed the limit. The estimate is
	// inexact; the engine applies the limit exactly.
	inputTolerance = 2
)

func (s *Server) serveChat(r *request) *problem.Problem {
	return s.serveModel(r, pathChat, true)
}

func (s *Server) serveCompletion(r *request) *problem.Problem {
	return s.serveModel(r, pathCompletion, false)
}

func (s *Server) serveModel(r *request, path string, chat bool) *problem.Problem {
	body, failed := r.body()
	if failed != nil {
		return failed
	}
	parsed, failed := parseInference(body, chat)
	if failed != nil {
		return failed
	}
	call, failed := r.modelCall(parsed, path, body)
	if failed != nil {
		return failed
	}
	ctx, cancel := context.WithDeadline(s.ctx, call.Request.Deadline)
	s.watch(ctx, cancel, r.c.RequestCtx().Conn())
	if parsed.stream {
		return s.stream(ctx, cancel, r, call)
	}
	defer cancel()
	response, failed := s.options.Models.Complete(ctx, call)
	if failed != nil {
		return failed
	}
	r.c.Status(response.Status)
	r.c.Set(fiber.HeaderContentType, response.ContentType)
	r.c.Response().SetBodyRaw(response.Body)
	return nil
}

// findModel returns the model that an id names for the member, and the adapter if it names one. An id of another member
// is answered like one that does not exist.
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

func (r *request) modelCall(parsed inference, path string, body []byte) (dispatch.ModelCall, *problem.Problem) {
	model, adapter, failed := r.findModel(parsed.model)
	if failed != nil {
		return dispatch.ModelCall{}, failed
	}
	if model.MaxOutputTokens > 0 && parsed.maxTokens > model.MaxOutputTokens {
		return dispatch.ModelCall{}, invalid(fmt.Sprintf("The token limit %d exceeds the model's limit of %d.",
			parsed.maxTokens, model.MaxOutputTokens))
	}
	digest := prompt.Of(parsed.model, parsed.messages)
	if model.MaxInputTokens > 0 && digest.Tokens > inputTolerance*model.MaxInputTokens {
		return dispatch.ModelCall{}, invalid(fmt.Sprintf("The prompt has about %d tokens; the model's limit is %d.",
			digest.Tokens, model.MaxInputTokens))
	}
	deadline, failed := r.deadline(config.Milliseconds(model.DefaultTimeoutMs), config.Milliseconds(model.MaxTimeoutMs))
	if failed != nil {
		return dispatch.ModelCall{}, failed
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

func outputTokens(parsed inference, model *config.Model) int {
	switch {
	case parsed.maxTokens > 0:
		return parsed.maxTokens
	case model.MaxOutputTokens > 0:
		return min(expectedOutputTokens, model.MaxOutputTokens)
	default:
		return expectedOutputTokens
	}
}

// stream answers with server-sent events once the first chunk has arrived.
func (s *Server) stream(ctx context.Context, cancel context.CancelFunc, r *request, call dispatch.ModelCall) *problem.Problem {
	opened, failed := s.options.Models.Open(ctx, call)
	if failed != nil {
		cancel()
		return failed
	}
	r.streaming = true
	r.c.Set(fiber.HeaderContentType, "text/event-stream")
	r.c.Set(fiber.HeaderCacheControl, "no-cache")
	body := &eventBody{server: s, requestID: r.id, stream: opened, cancel: cancel}
	r.c.Response().SetBodyStream(body, -1)
	return nil
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	// Created is when the configuration was accepted, in seconds since 1970.
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
