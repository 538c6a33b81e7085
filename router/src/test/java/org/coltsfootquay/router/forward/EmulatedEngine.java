package org.coltsfootquay.router.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;

/**
 * Engine that leaves, asks for pauses and spoils a part of its responses, and checks what it receives meanwhile.
 *
 * <p>It processes the requests of all connections under one lock, so that its notices and its arrivals have one order.
 */
final class EmulatedEngine implements AutoCloseable {

    /** First part of the prompts that crash the engine. */
    static final String DEADLY_PART = "deadly";

    /** Events of a complete stream. */
    static final int EVENTS = 6;

    /** Time after its first notice in which requests may still arrive at a leaving engine. */
    private static final Duration DRAIN_TIME = Duration.ofMillis(500);

    /** Time after a refusal in which requests may still arrive at an engine that asked for a pause. */
    private static final Duration PAUSE_START_TIME = Duration.ofMillis(500);

    private static final int MAX_ARRIVALS_IN_PAUSE = 2;

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");
    private static final Pattern PARTS = Pattern.compile("(?im)^X-Parts: (\\S+)");
    private static final Pattern RESUME = Pattern.compile("(?im)^X-Resume: (\\d+)");

    /** Number of executions by request. */
    final Map<String, Integer> executions = new ConcurrentHashMap<>();

    final List<String> violations = new CopyOnWriteArrayList<>();

    /** Times at which requests with a part that crashes engines arrived. */
    final List<Long> deadlyArrivalNanos = new CopyOnWriteArrayList<>();

    private final ScriptedServer server;
    private final Random random;
    private final double faultRate;
    private String lastRefused;
    private boolean leaving;
    private boolean leavingSent;
    private long leavingSentNanos;
    private boolean paused;
    private long pauseSentNanos;
    private long pauseEndNanos;
    private int arrivalsInPause;
    private String pauseRequest;

    EmulatedEngine(long seed, double faultRate) throws IOException {
        this.random = new Random(seed);
        this.faultRate = faultRate;
        this.server = new ScriptedServer(this::respond);
    }

    String address() {
        return server.address();
    }

    /** Ends without notice. */
    void crash() throws IOException {
        server.crash();
    }

    /** Says in each response from now on that it leaves. */
    synchronized void leave() {
        leaving = true;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void respond(String head, OutputStream output, Socket socket) throws IOException {
        String id = find(ID, head);
        if (find(PARTS, head).startsWith(DEADLY_PART + ",")) {
            deadlyArrivalNanos.add(System.nanoTime());
            crash();
            return;
        }
        byte[] response;
        boolean close;
        synchronized (this) {
            checkArrival(id, System.nanoTime());
            Reply reply = reply(head, id);
            response = ScriptedServer.ascii(reply.text);
            close = reply.close;
            if (leaving && !leavingSent && reply.readable) {
                leavingSent = true;
                leavingSentNanos = System.nanoTime();
            }
        }
        output.write(response);
        output.flush();
        if (close) {
            socket.close();
        }
    }

    private void checkArrival(String id, long now) {
        if (leavingSent && now - leavingSentNanos > DRAIN_TIME.toNanos()) {
            violations.add("DRAIN: " + id + " reached an engine "
                    + Duration.ofNanos(now - leavingSentNanos).toMillis() + " ms after it said that it leaves");
        }
        if (paused && now - pauseSentNanos > PAUSE_START_TIME.toNanos() && now - pauseEndNanos < 0) {
            arrivalsInPause++;
            if (arrivalsInPause > MAX_ARRIVALS_IN_PAUSE) {
                violations.add("BUDGET: " + id + " reached an engine "
                        + Duration.ofNanos(now - pauseSentNanos).toMillis()
                        + " ms after it asked for a pause in response to " + pauseRequest);
            }
        }
    }

    private Reply reply(String head, String id) {
        if (random.nextDouble() >= faultRate) {
            return new Reply(success(head, id), false, true);
        }
        return switch (random.nextInt(9)) {
            case 0 -> new Reply(refusal(id, "Retry-After: " + pause(id) + "\r\n"), false, true);
            case 1 -> new Reply(refusal(id, ""), false, true);
            case 2 -> new Reply(refusal(id, "Retry-After: soon\r\n"), false, true);
            case 3 -> new Reply(earlierRefusal() + success(head, id), false, false);
            case 4 -> new Reply(success(head, id).repeat(2), false, true);
            case 5 -> new Reply(part(success(head, id)), true, false);
            case 6 -> new Reply(executed(id, response(id, "500 X", "X-Seal: seal\r\n", "oops")), false, true);
            case 7 -> new Reply(executed(id, response(id, "200 X", "", "forged")), false, true);
            default -> new Reply(executed(id, "HTTP/1.1 200 X\r\nX-Id: " + id + "\r\nX-Se"), true, false);
        };
    }

    private String pause(String id) {
        double seconds = 0.6 + random.nextInt(10) / 10.0;
        long now = System.nanoTime();
        long end = now + (long) (seconds * Duration.ofSeconds(1).toNanos());
        if (!paused || end - pauseEndNanos > 0) {
            paused = true;
            pauseSentNanos = now;
            pauseEndNanos = end;
            arrivalsInPause = 0;
            pauseRequest = id;
        }
        return String.valueOf(seconds);
    }

    private String refusal(String id, String headers) {
        lastRefused = id;
        return response(id, "503 X", "X-Not-Run: 1\r\n" + headers, "");
    }

    /** Repeats an earlier refusal, with its id or without any. */
    private String earlierRefusal() {
        if (lastRefused == null) {
            return "";
        }
        String text = response(lastRefused, "503 X", "X-Not-Run: 1\r\nRetry-After: 9\r\n", "");
        return random.nextBoolean() ? text : text.replace("X-Id: " + lastRefused + "\r\n", "");
    }

    private String success(String head, String id) {
        if (!head.contains("/resume/") && !head.contains("/stream/")) {
            return executed(id, response(id, "200 X", "X-Seal: seal\r\n", "body-" + id));
        }
        Matcher resume = RESUME.matcher(head);
        int first = resume.find() && random.nextInt(8) != 0 ? Integer.parseInt(resume.group(1)) + 1 : 1;
        StringBuilder events = new StringBuilder();
        for (int i = first; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: " + id + "-" + i + "\n\n";
            events.append(Integer.toHexString(event.length()))
                    .append("\r\n")
                    .append(event)
                    .append("\r\n");
        }
        return executed(
                id,
                "HTTP/1.1 200 X\r\nX-Id: " + id + "\r\nX-Seal: seal\r\n" + notice()
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + events
                        + "0\r\n\r\n");
    }

    private String response(String id, String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\n" + notice() + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private String notice() {
        return leaving ? "X-Leaving: 1\r\n" : "";
    }

    private String part(String text) {
        return text.substring(0, random.nextInt(text.length()));
    }

    private String executed(String id, String text) {
        executions.merge(id, 1, Integer::sum);
        return text;
    }

    private static String find(Pattern pattern, String head) {
        Matcher matcher = pattern.matcher(head);
        return matcher.find() ? matcher.group(1) : "none";
    }

    /**
     * Reply to a request.
     *
     * @param text bytes to write
     * @param close whether the connection is closed afterwards
     * @param readable whether the router is certain to read the head of the response to this request
     */
    private record Reply(String text, boolean close, boolean readable) {}
}
