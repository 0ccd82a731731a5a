package fleet

import "time"

const (
	// streamDelayWeight is the weight of a delay of one running stream relative to the same delay of the request's first
	// token.
	streamDelayWeight = 0.03
	// generationDelayWeight is the weight of the time that the request's own tokens take longer because prompts are read
	// meanwhile, relative to a delay of its first token.
	generationDelayWeight = 0.02
	// tokenTimeWhileReading is the time per generated token at an engine that reads prompts all the time.
	tokenTimeWhileReading = 40 * time.Millisecond
	// maxReadingShare bounds the share of its time for which an engine is assumed to read prompts.
	maxReadingShare = 1.5
)

// interference returns the cost of running a request beside the other requests at an endpoint. An engine reads prompts in
// chunks between the steps of its batch, so that each prompt delays all streams that run there.
//
// Load pattern: bursts of long prompts beside long streams of short ones. By the time to the first token alone, prompts go to
// engines that generate many streams as readily as to others, and streams to engines that only read; their tokens then come
// too slowly, although the first one was in time.
func interference(work Work, demand *Demand, keptTokens int, speed EngineSpeed) time.Duration {
	if demand.Model == "" {
		return 0
	}
	prefill := speed.prefillTime(max(demand.PromptTokens-keptTokens, 0))
	ofOthers := float64(prefill) * float64(work.Running) * streamDelayWeight
	readingShare := min(float64(work.PrefillRate)/(speed.PrefillPerMs*1000), maxReadingShare)
	own := float64(tokenTimeWhileReading) * float64(demand.OutputTokens) * readingShare * generationDelayWeight
	return time.Duration(ofOthers + own)
}
