package org.coltsfootquay.router.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestEvent.ServerDeclined.Reason;
import org.coltsfootquay.router.backend.BackendFailure;
import org.coltsfootquay.router.backend.BackendFailure.Execution;
import org.coltsfootquay.router.backend.BackendFailure.Kind;
import org.coltsfootquay.router.backend.BackendHandler;
import org.coltsfootquay.router.backend.SseParser;
import org.coltsfootquay.router.backend.StreamEvent;
import org.coltsfootquay.router.backend.StreamEventParser;

/**
 * Translates the response of a server to one attempt into events of the flow.
 *
 * <p>A model stream is delivered as one part per token and is complete only at its end marker. Any other response is
 * delivered as parts of bytes. A response with status 409 or 503 is held back until its body shows whether the server
 * declined to run the request.
 */
final class ServerResponseHandler implements BackendHandler {

    private static final int MAX_HELD_BYTES = 64 * 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final RequestAttempt attempt;
    private final boolean model;
    private final boolean resumed;
    private final BooleanSupplier mayStart;
    private final Consumer<RequestEvent> events;
    private final SseParser sseParser = new SseParser(this::onStreamEvent);
    private final ByteArrayOutputStream heldBytes = new ByteArrayOutputStream(0);
    private boolean detached;
    private boolean ended;
    private boolean tokenStream;
    private boolean holdingBody;
    private int status;
    private Map<String, String> headers = Map.of();
    private long nextPosition;
    private long completionTokens = -1;
    private String trailer = "";

    ServerResponseHandler(
            RequestAttempt attempt,
            ServiceKind kind,
            long firstPosition,
            boolean resumed,
            BooleanSupplier mayStart,
            Consumer<RequestEvent> events) {
        this.attempt = attempt;
        this.model = kind == ServiceKind.MODEL;
        this.nextPosition = firstPosition;
        this.resumed = resumed;
        this.mayStart = mayStart;
        this.events = events;
    }

    /** Stops the delivery of events. */
    void detach() {
        detached = true;
    }

    @Override
    public boolean maySend() {
        return resumed || (!detached && mayStart.getAsBoolean());
    }

    @Override
    public void sendStarted() {
        if (!resumed) {
            deliver(new RequestEvent.SendStarted(attempt));
        }
    }

    @Override
    public void headersReceived(int newStatus, Map<String, String> newHeaders) {
        status = newStatus;
        headers = newHeaders;
        tokenStream = model && newStatus == 200;
        holdingBody = newStatus == 409 || newStatus == 503;
        if (!tokenStream) {
            nextPosition = 0;
        }
        if (!holdingBody) {
            deliver(new RequestEvent.HeadReceived(attempt, newStatus, newHeaders));
        }
    }

    @Override
    public void bodyPartReceived(byte[] bytes) {
        if (holdingBody) {
            heldBytes.writeBytes(bytes);
            if (heldBytes.size() > MAX_HELD_BYTES) {
                releaseHeldBytes();
            }
        } else if (tokenStream) {
            try {
                sseParser.feed(bytes);
            } catch (IllegalStateException e) {
                deliverLast(new RequestEvent.StreamFailed(attempt, e.getMessage()));
            }
        } else {
            deliverPart(bytes);
        }
    }

    @Override
    public void completed() {
        if (holdingBody) {
            Optional<Reason> reason = declineReason();
            if (reason.isPresent()) {
                deliverLast(new RequestEvent.ServerDeclined(attempt, reason.get()));
                return;
            }
            releaseHeldBytes();
        }
        if (tokenStream) {
            // A token stream without its end marker is incomplete, even if its connection was closed normally.
            deliverLast(new RequestEvent.ConnectionBroken(attempt));
        } else {
            deliverLast(new RequestEvent.ResponseEnded(attempt, nextPosition, ""));
        }
    }

    @Override
    public void failed(BackendFailure failure) {
        if (failure.kind() == Kind.NOT_STARTED) {
            deliverLast(new RequestEvent.SendAbandoned(attempt));
        } else if (failure.execution() == Execution.NOT_SENT) {
            deliverLast(new RequestEvent.ConnectFailed(attempt));
        } else {
            deliverLast(new RequestEvent.ConnectionBroken(attempt));
        }
    }

    private void onStreamEvent(String data) {
        Optional<StreamEvent> parsed = StreamEventParser.parse(data);
        if (parsed.isEmpty()) {
            deliverLast(new RequestEvent.StreamFailed(attempt, "the stream contains an event that is not valid JSON"));
            return;
        }
        StreamEvent event = parsed.get();
        if (event.done()) {
            deliverLast(new RequestEvent.ResponseEnded(attempt, completionTokens, trailer));
        } else if (event.errorCode().isPresent()) {
            deliverLast(new RequestEvent.StreamFailed(attempt, event.errorCode().get()));
        } else {
            if (event.hasToken()) {
                long position = event.position().orElse(nextPosition);
                nextPosition = position + 1;
                deliver(new RequestEvent.PartReceived(
                        attempt, position, event.content().getBytes(StandardCharsets.UTF_8)));
            }
            if (event.finishReason().isPresent()) {
                trailer = data;
            }
            completionTokens = event.completionTokens().orElse(completionTokens);
        }
    }

    private void releaseHeldBytes() {
        holdingBody = false;
        deliver(new RequestEvent.HeadReceived(attempt, status, headers));
        deliverPart(heldBytes.toByteArray());
        heldBytes.reset();
    }

    private void deliverPart(byte[] bytes) {
        if (bytes.length > 0) {
            long position = nextPosition;
            nextPosition += bytes.length;
            deliver(new RequestEvent.PartReceived(attempt, position, bytes));
        }
    }

    private Optional<Reason> declineReason() {
        try {
            JsonNode root = JSON.readTree(heldBytes.toByteArray());
            String code =
                    root.path("code").asText(root.path("error").path("code").asText());
            if (status == 503 && code.equals("cold")) {
                return Optional.of(Reason.COLD);
            }
            return status == 409 && code.equals("fenced") ? Optional.of(Reason.FENCED) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Delivers the final event of the response; later events are discarded. */
    private void deliverLast(RequestEvent event) {
        if (!ended) {
            deliver(event);
            ended = true;
        }
    }

    private void deliver(RequestEvent event) {
        if (!detached && !ended) {
            events.accept(event);
        }
    }
}
