package engineserver

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/openai"
)

// stream sends the answer token by token as server-sent events.
func (a *answer) stream(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/event-stream")
	reader, writer := io.Pipe()
	ctx.SetBodyStream(reader, -1)
	ctx.Response.ImmediateHeaderFlush = true
	go func() {
		defer a.engine.running.Add(-1)
		err := a.writeEvents(writer)
		_ = writer.CloseWithError(err)
	}()
}

// writeEvents writes all events of the answer. It returns an error if the
// connection must be closed before the end of the stream.
func (a *answer) writeEvents(w io.Writer) error {
	tokens := a.tokens()
	half := len(tokens) / 2
	for i, token := range tokens {
		time.Sleep(a.engine.config.TokenTime)
		if i == half {
			if done, err := a.faultAtHalf(w, i, token); done || err != nil {
				return err
			}
			if a.fault == FaultGap {
				continue
			}
		}
		if err := a.writeToken(w, i, token); err != nil {
			return err
		}
	}
	if err := a.writeEnd(w, len(tokens)); err != nil {
		return err
	}
	a.engine.served.Add(1)
	a.engine.cold.answered()
	return nil
}

// faultAtHalf injects the faults that occur in mid-stream. If done is true the
// stream ends there.
func (a *answer) faultAtHalf(w io.Writer, i int, token string) (done bool, err error) {
	switch a.fault {
	case FaultCut:
		return true, errCut
	case FaultNoEnd:
		return true, nil
	case FaultRepeat:
		return false, a.writeToken(w, i, token)
	default:
		return false, nil
	}
}

func (a *answer) writeToken(w io.Writer, i int, token string) error {
	return a.writeChunk(w, a.after+i+1, []openai.ChunkChoice{{Delta: openai.Delta{Content: token}}}, nil)
}

// writeEnd sends the finish reason and then, as the OpenAI API does, the usage
// in a separate chunk without choices.
func (a *answer) writeEnd(w io.Writer, count int) error {
	finish := "stop"
	if err := a.writeChunk(w, a.after+count+1, []openai.ChunkChoice{{FinishReason: &finish}}, nil); err != nil {
		return err
	}
	if err := a.writeChunk(w, a.after+count+2, []openai.ChunkChoice{}, a.usage()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "data: %s\n\n", openai.DoneMark)
	return err
}

func (a *answer) writeChunk(w io.Writer, event int, choices []openai.ChunkChoice, usage *openai.Usage) error {
	data, err := json.Marshal(openai.Chunk{
		ID: a.id(), Object: "chat.completion.chunk", Model: a.model(), Choices: choices, Usage: usage,
	})
	if err != nil {
		return err
	}
	if a.engine.config.Resumable {
		_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, data)
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err
}
