package org.coltsfootquay.router.platform;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.coltsfootquay.router.backend.BackendCall;
import org.coltsfootquay.router.backend.BackendFailure;
import org.coltsfootquay.router.backend.BackendFailure.Execution;
import org.coltsfootquay.router.backend.BackendHandler;

/**
 * One attempt of a call; reports its outcome exactly once, whether the response, a failure or the timeout comes first.
 *
 * <p>An atomic state transition resolves the race between the timeout and the first byte: a request that timed out
 * first is never sent.
 */
final class PlatformCallAttempt implements BackendHandler {

    /** Maximum response size; a full list of 290 workspaces and 1,600 servers takes less than 1 MiB. */
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    private enum State {
        WAITING,
        SENDING,
        ENDED
    }

    private final String method;
    private final String path;
    private final byte[] requestBody;
    private final long deadlineNanos;
    private final BiConsumer<PlatformCallAttempt, PlatformReply> outcomeListener;
    private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);
    private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
    private int status;
    private volatile BackendCall backendCall;

    PlatformCallAttempt(
            String method,
            String path,
            byte[] requestBody,
            long deadlineNanos,
            BiConsumer<PlatformCallAttempt, PlatformReply> outcomeListener) {
        this.method = method;
        this.path = path;
        this.requestBody = requestBody;
        this.deadlineNanos = deadlineNanos;
        this.outcomeListener = outcomeListener;
    }

    String method() {
        return method;
    }

    String path() {
        return path;
    }

    byte[] requestBody() {
        return requestBody;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    boolean hasEnded() {
        return state.get() == State.ENDED;
    }

    /** Stores the call of the backend client, so that the timeout can close its connection. */
    void setBackendCall(BackendCall call) {
        backendCall = call;
        if (hasEnded()) {
            call.cancel();
        }
    }

    /** Ends the attempt without a response, unless it has already ended. */
    void abort(String reason) {
        State before = state.getAndSet(State.ENDED);
        if (before == State.ENDED) {
            return;
        }
        outcomeListener.accept(
                this, before == State.WAITING ? PlatformReply.notSent(reason) : PlatformReply.lost(reason));
        BackendCall call = backendCall;
        if (call != null) {
            call.cancel();
        }
    }

    @Override
    public boolean maySend() {
        return state.compareAndSet(State.WAITING, State.SENDING);
    }

    @Override
    public void headersReceived(int newStatus, Map<String, String> headers) {
        status = newStatus;
    }

    @Override
    public void bodyPartReceived(byte[] bytes) {
        if (responseBody.size() + bytes.length > MAX_RESPONSE_BYTES) {
            abort("the response has more than " + MAX_RESPONSE_BYTES + " bytes");
        } else {
            responseBody.write(bytes, 0, bytes.length);
        }
    }

    @Override
    public void completed() {
        end(PlatformReply.answered(status, responseBody.toByteArray()));
    }

    @Override
    public void failed(BackendFailure failure) {
        end(
                failure.execution() == Execution.NOT_SENT
                        ? PlatformReply.notSent(failure.message())
                        : PlatformReply.lost(failure.message()));
    }

    private void end(PlatformReply reply) {
        if (state.getAndSet(State.ENDED) != State.ENDED) {
            outcomeListener.accept(this, reply);
        }
    }
}
