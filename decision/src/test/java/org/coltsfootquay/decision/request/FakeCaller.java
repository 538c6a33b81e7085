package org.coltsfootquay.decision.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.configuration.ServiceKind;

/** Caller that records what it received and detects violations of the response protocol. */
final class FakeCaller {

    final CallerRequest request;
    final List<String> failures = new ArrayList<>();
    private final StringBuilder received = new StringBuilder();
    private boolean started;
    private boolean complete;
    private ErrorResponse error;
    private String outcome = "";
    private long nextPosition;

    FakeCaller(CallerRequest request) {
        this.request = request;
    }

    void receive(RequestAction action) {
        if (!isForCaller(action)) {
            return;
        }
        if (!outcome.isEmpty()) {
            if (!outcome.equals("gone") && !outcome.equals("connection broken")) {
                failures.add("received after the end of the response: " + action);
            }
            return;
        }
        if (action instanceof RequestAction.StartResponse) {
            started = true;
        } else if (action instanceof RequestAction.SendPart part) {
            if (!started || part.position() != nextPosition) {
                failures.add("part at position " + part.position() + " instead of " + nextPosition);
            }
            nextPosition += request.kind() == ServiceKind.MODEL ? 1 : part.data().length;
            received.append(new String(part.data(), StandardCharsets.UTF_8));
        } else if (action instanceof RequestAction.FinishResponse) {
            complete = true;
            outcome = "complete";
        } else if (action instanceof RequestAction.SendResponse response) {
            response.parts().forEach(part -> received.append(new String(part, StandardCharsets.UTF_8)));
            complete = true;
            outcome = "complete";
        } else if (action instanceof RequestAction.Refuse refuse) {
            error = refuse.error();
            outcome = error.code().label() + " " + error.execution().label();
        } else if (action instanceof RequestAction.EndWithError failed) {
            error = failed.error();
            outcome = "error event " + error.code().label();
        }
    }

    private static boolean isForCaller(RequestAction action) {
        return action instanceof RequestAction.StartResponse
                || action instanceof RequestAction.SendPart
                || action instanceof RequestAction.FinishResponse
                || action instanceof RequestAction.SendResponse
                || action instanceof RequestAction.Refuse
                || action instanceof RequestAction.EndWithError;
    }

    void disconnect(String reason) {
        if (outcome.isEmpty()) {
            outcome = reason;
        }
    }

    String outcome() {
        return outcome;
    }

    boolean isComplete() {
        return complete;
    }

    String received() {
        return received.toString();
    }

    boolean reportedNotRun() {
        return error != null && error.execution() == ErrorResponse.Execution.NOT_RUN;
    }
}
