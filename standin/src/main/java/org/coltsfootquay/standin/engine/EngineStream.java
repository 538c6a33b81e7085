package org.coltsfootquay.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.coltsfootquay.standin.http.Exchange;
import org.coltsfootquay.standin.http.JsonUtils;

/** One request that an engine runs or holds; used on one event loop. */
final class EngineStream {

    private final String requestId;
    private final ExpectedAnswer answer;
    private boolean events;
    private final int promptTokens;
    private final int firstPosition;
    private final int endPosition;
    private final long[] prefixHashes;
    private int position;
    private int sentOnConnection;
    private boolean done;
    private Exchange caller;

    EngineStream(String requestId, JsonNode request, byte[] prompt, int defaultTokens) {
        this.requestId = requestId;
        this.answer = ExpectedAnswer.of(request);
        this.events = request.path("stream").asBoolean();
        this.promptTokens = PromptUtils.tokens(prompt.length);
        this.firstPosition = request.path("continue_from").size();
        this.endPosition = Math.max(firstPosition, request.path("max_tokens").asInt(defaultTokens));
        this.prefixHashes = PrefixHashUtils.hashes(prompt);
        this.position = firstPosition;
    }

    String requestId() {
        return requestId;
    }

    ExpectedAnswer answer() {
        return answer;
    }

    int promptTokens() {
        return promptTokens;
    }

    int firstPosition() {
        return firstPosition;
    }

    int position() {
        return position;
    }

    int sentOnConnection() {
        return sentOnConnection;
    }

    long[] prefixHashes() {
        return prefixHashes.clone();
    }

    boolean done() {
        return done;
    }

    boolean hasCaller() {
        return caller != null;
    }

    boolean isCaller(Exchange exchange) {
        return caller == exchange;
    }

    boolean complete() {
        return position >= endPosition;
    }

    /** Sends the answer of this request to the caller that sent it. */
    void attach(Exchange exchange) {
        caller = exchange;
        if (events) {
            caller.startEvents();
        }
    }

    /** Streams the answer to a new caller from a position on; an earlier caller is disconnected. */
    void resume(Exchange exchange, int from) {
        abortCaller();
        caller = exchange;
        sentOnConnection = 0;
        events = true;
        caller.startEvents();
        for (int i = from; i < position; i++) {
            sendToken(i);
        }
        if (done) {
            finish();
        }
    }

    void detach() {
        caller = null;
    }

    /** Produces one token. */
    void produce() {
        if (events) {
            sendToken(position);
        }
        position++;
    }

    void finish() {
        done = true;
        if (caller == null) {
            return;
        }
        if (events) {
            ObjectNode last = JsonUtils.object();
            ObjectNode choice = last.putArray("choices").addObject();
            choice.putObject("delta");
            choice.put("index", 0).put("finish_reason", "stop");
            last.set("usage", usage());
            caller.sendEvent(last.toString());
            caller.sendEvent("[DONE]");
            caller.endEvents();
        } else {
            StringBuilder text = new StringBuilder();
            for (int i = firstPosition; i < endPosition; i++) {
                text.append(answer.token(i));
            }
            ObjectNode whole = JsonUtils.object().put("id", requestId).put("object", "chat.completion");
            ObjectNode choice = whole.putArray("choices").addObject();
            choice.putObject("message").put("role", "assistant").put("content", text.toString());
            choice.put("index", 0).put("finish_reason", "stop");
            whole.set("usage", usage());
            caller.answer(200, whole);
        }
    }

    /** Ends the answer with an error; a stream ends without {@code [DONE]}. */
    void fail(int status, String code, String message) {
        done = true;
        if (caller == null) {
            return;
        }
        if (events) {
            ObjectNode node = JsonUtils.object();
            node.putObject("error").put("code", code).put("message", message);
            caller.sendEvent(node.toString());
            caller.endEvents();
        } else {
            caller.answerError(status, code, message);
        }
        caller = null;
    }

    /** Breaks the connection of the caller, if there is one. */
    void abortCaller() {
        if (caller != null) {
            Exchange broken = caller;
            caller = null;
            broken.abort();
        }
    }

    private void sendToken(int index) {
        if (caller == null) {
            return;
        }
        sentOnConnection++;
        // Token texts need no escapes, so the event is written without a JSON tree; it is the most frequent message.
        caller.sendEvent("{\"choices\":[{\"delta\":{\"content\":\"" + answer.token(index)
                + "\"},\"index\":0,\"finish_reason\":null}],\"position\":" + index + "}");
    }

    private ObjectNode usage() {
        return JsonUtils.object()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", endPosition)
                .put("total_tokens", promptTokens + endPosition);
    }
}
