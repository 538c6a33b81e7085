package org.coltsfootquay.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Compares what callers received with what the engines sent. Each response of an engine bears a seal of its own.
 *
 * <p>Engines record a response before they send it. May be used from any thread.
 */
final class AnswerCheck {

    private final Map<String, Sent> sentBySeal = new ConcurrentHashMap<>();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();

    /**
     * Response with a seal.
     *
     * @param id request that it answers
     * @param status status
     * @param body bytes that its length or its chunks cover
     * @param additional whether a complete response to the same request was sent before
     */
    private record Sent(String id, int status, String body, boolean additional) {}

    /** Records a response of which at least the whole head is sent. */
    void sent(String seal, String id, int status, String body) {
        sentBySeal.put(seal, new Sent(id, status, body, false));
    }

    /** Records a response that follows a complete one to the same request. */
    void sentAdditionally(String seal, String id, int status, String body) {
        sentBySeal.put(seal, new Sent(id, status, body, true));
    }

    /** Records that a complete response to a request is sent. */
    void answered(String id) {
        answered.add(id);
    }

    /** Returns whether an engine has sent a complete response to a request. */
    boolean isAnswered(String id) {
        return answered.contains(id);
    }

    /**
     * Checks the response to one request.
     *
     * @param path prefix of the route
     * @param id id of the request
     * @param response what the caller received
     * @return violations; empty if there are none
     */
    List<String> violations(String path, String id, KeptConnection.Response response) {
        List<String> violations = new ArrayList<>();
        if (response.status() == 0) {
            return violations;
        }
        if (!response.id().isEmpty() && !response.id().equals(id)) {
            violations.add("MIXED: " + path + id + " got the id of another request: " + response);
        }
        boolean success = response.status() / 100 == 2;
        Sent sent = sentBySeal.get(response.seal());
        if (response.seal().isEmpty()) {
            if (success) {
                violations.add("MIXED: " + path + id + " got a success without a seal: " + response);
            }
        } else if (sent == null) {
            violations.add("MIXED: " + path + id + " got a seal of no response: " + response);
        } else if (!sent.id.equals(id)) {
            violations.add("MIXED: " + path + id + " got the seal of another request: " + response);
        } else if (sent.additional) {
            violations.add("MIXED: " + path + id + " got an additional response: " + response);
        } else if (sent.status != response.status()) {
            violations.add("MIXED: " + path + id + " got another status than " + sent.status + ": " + response);
        } else if (success) {
            checkBody(path, id, isStream(path) ? events(id, 1) : sent.body, response, violations);
        }
        return violations;
    }

    private static void checkBody(
            String path, String id, String whole, KeptConnection.Response response, List<String> violations) {
        if (response.complete() && !response.body().equals(whole)) {
            violations.add("MIXED: " + path + id + " got another body than " + whole + ": " + response);
        } else if (!whole.startsWith(response.body())) {
            violations.add("ORDER: " + path + id + " got " + response);
        }
    }

    /** Returns whether a route carries streams. */
    static boolean isStream(String path) {
        return path.startsWith("/stream/") || path.startsWith("/resume/");
    }

    /** Returns the events of the stream for a request, from one of them to the last. */
    static String events(String id, int first) {
        StringBuilder events = new StringBuilder();
        for (int i = first; i <= EmulatedEngine.EVENTS; i++) {
            events.append(event(id, i));
        }
        return events.toString();
    }

    /** Returns one event of the stream for a request. */
    static String event(String id, int number) {
        return "id: " + number + "\ndata: " + id + "-" + number + "\n\n";
    }
}
