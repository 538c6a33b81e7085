package org.coltsfootquay.decision.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.configuration.ServiceKind;

/** Caller that keeps what it received and what it may conclude from it. */
final class FakeCaller {

    final CallerRequest request;
    final List<String> faults = new ArrayList<>();
    private final StringBuilder received = new StringBuilder();
    private boolean started;
    private boolean complete;
    private ErrorReply error;
    private String end = "";
    private long next;

    FakeCaller(CallerRequest request) {
        this.request = request;
    }

    void receive(RequestAction action) {
        if (!isForCaller(action)) {
            return;
        }
        if (!end.isEmpty()) {
            if (!end.equals("gone") && !end.equals("connection broken")) {
                faults.add("received after the end: " + action);
            }
            return;
        }
        if (action instanceof RequestAction.StartAnswer) {
            started = true;
        } else if (action instanceof RequestAction.PassPart part) {
            if (!started || part.position() != next) {
                faults.add("part at " + part.position() + " instead of " + next);
            }
            next += request.kind() == ServiceKind.MODEL ? 1 : part.data().length;
            received.append(new String(part.data(), StandardCharsets.UTF_8));
        } else if (action instanceof RequestAction.FinishAnswer) {
            complete = true;
            end = "complete";
        } else if (action instanceof RequestAction.GiveAnswer give) {
            give.parts().forEach(part -> received.append(new String(part, StandardCharsets.UTF_8)));
            complete = true;
            end = "complete";
        } else if (action instanceof RequestAction.Refuse refuse) {
            error = refuse.error();
            end = error.code().label() + " " + error.execution().label();
        } else if (action instanceof RequestAction.EndWithError failed) {
            error = failed.error();
            end = "error event " + error.code().label();
        }
    }

    private static boolean isForCaller(RequestAction action) {
        return action instanceof RequestAction.StartAnswer
                || action instanceof RequestAction.PassPart
                || action instanceof RequestAction.FinishAnswer
                || action instanceof RequestAction.GiveAnswer
                || action instanceof RequestAction.Refuse
                || action instanceof RequestAction.EndWithError;
    }

    void leave(String reason) {
        if (end.isEmpty()) {
            end = reason;
        }
    }

    String end() {
        return end;
    }

    boolean isComplete() {
        return complete;
    }

    String received() {
        return received.toString();
    }

    boolean wasToldNotRun() {
        return error != null && error.execution() == ErrorReply.Execution.NOT_RUN;
    }
}
