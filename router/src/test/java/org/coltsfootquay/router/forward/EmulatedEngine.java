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
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;

/**
 * Engine that leaves, asks for pauses, spoils a part of its responses and sends second ones, and checks what it
 * receives meanwhile.
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

    /** Longest delay of a late response, in milliseconds. */
    private static final int MAX_LATE_MILLIS = 20;

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");
    private static final Pattern PARTS = Pattern.compile("(?im)^X-Parts: (\\S+)");
    private static final Pattern SENT = Pattern.compile("(?im)^X-Sent: (\\d+)");
    private static final Pattern RESUME = Pattern.compile("(?im)^X-Resume: (\\d+)");

    private static final String LEAVING = "X-Leaving: 1\r\n";

    /** Number of executions by request. */
    final Map<String, Integer> executions = new ConcurrentHashMap<>();

    /** Number of requests that were answered a second time or whose first response was cut. */
    final AtomicInteger secondResponses = new AtomicInteger();

    final List<String> violations = new CopyOnWriteArrayList<>();

    /** Times at which requests with a part that crashes engines arrived. */
    final List<Long> deadlyArrivalNanos = new CopyOnWriteArrayList<>();

    private final ScriptedServer server;
    private final Random random;
    private final double faultRate;
    private final double stutterRate;
    private final AnswerCheck answers;
    private final String name;
    private final Map<Socket, EngineConnection> connections = new ConcurrentHashMap<>();
    private final ScheduledExecutorService lateResponses = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "late-responses");
        thread.setDaemon(true);
        return thread;
    });
    private int sealCount;
    private String lastRefused;
    private boolean leaving;
    private boolean leavingSent;
    private long leavingSentNanos;
    private boolean paused;
    private long pauseSentNanos;
    private long pauseEndNanos;
    private int arrivalsInPause;
    private String pauseRequest;

    /**
     * Starts an engine.
     *
     * @param name name, unique among the engines that share the answer check
     * @param seed seed of its faults
     * @param faultRate fraction of its responses that are refusals, errors or spoilt
     * @param stutterRate fraction of its other responses that are followed by a second one
     * @param answers check that learns what the engine sends
     */
    EmulatedEngine(String name, long seed, double faultRate, double stutterRate, AnswerCheck answers)
            throws IOException {
        this.name = name;
        this.random = new Random(seed);
        this.faultRate = faultRate;
        this.stutterRate = stutterRate;
        this.answers = answers;
        this.server = new ScriptedServer(this::respond);
    }

    String address() {
        return server.address();
    }

    /** Ends without notice. */
    void crash() throws IOException {
        lateResponses.shutdownNow();
        server.crash();
    }

    /** Says in each response from now on that it leaves. */
    synchronized void leave() {
        leaving = true;
    }

    @Override
    public void close() throws IOException {
        lateResponses.shutdownNow();
        server.close();
    }

    private void respond(String head, OutputStream output, Socket socket) throws IOException {
        String id = find(ID, head);
        if (find(PARTS, head).startsWith(DEADLY_PART + ",")) {
            deadlyArrivalNanos.add(System.nanoTime());
            crash();
            return;
        }
        EngineConnection connection = connections.computeIfAbsent(socket, key -> new EngineConnection(socket, output));
        Reply reply;
        synchronized (this) {
            checkArrival(id, Long.parseLong(find(SENT, head)));
            reply = reply(head, id, connection);
        }
        boolean disturbed = (leaving || reply.pauseSeconds > 0) && connection.disturbed();
        connection.send(reply.text);
        if (reply.readable && !disturbed) {
            noticesSent(id, reply, System.nanoTime());
        }
        if (reply.close) {
            socket.close();
        } else if (!reply.late.isEmpty()) {
            sendLate(connection, reply.late, reply.lateMillis);
        }
    }

    private void sendLate(EngineConnection connection, String text, int delayMillis) {
        if (delayMillis < 0) {
            connection.hold(text);
            return;
        }
        try {
            var unused = lateResponses.schedule(() -> connection.sendLate(text), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The engine has ended.
            return;
        }
    }

    /** Starts the times after which requests are checked; a router can only know what has been sent to it. */
    private synchronized void noticesSent(String id, Reply reply, long nowNanos) {
        if (reply.text.contains(LEAVING) && !leavingSent) {
            leavingSent = true;
            leavingSentNanos = nowNanos;
        }
        long end = nowNanos + (long) (reply.pauseSeconds * Duration.ofSeconds(1).toNanos());
        if (reply.pauseSeconds > 0 && (!paused || end - pauseEndNanos > 0)) {
            paused = true;
            pauseSentNanos = nowNanos;
            pauseEndNanos = end;
            arrivalsInPause = 0;
            pauseRequest = id;
        }
    }

    /** Checks a request by the time at which the router sent it, since a busy machine may delay its arrival here. */
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

    private Reply reply(String head, String id, EngineConnection connection) {
        if (random.nextDouble() >= faultRate) {
            if (random.nextDouble() < stutterRate) {
                connection.disturb();
                secondResponses.incrementAndGet();
                return executed(id, random.nextInt(3) == 0 ? cutThenSecond(head, id) : wholeThenSecond(head, id));
            }
            return executed(id, new Reply(success(head, id), false, true));
        }
        return switch (random.nextInt(9)) {
            case 0 -> pause(id);
            case 1 -> new Reply(refusal(id, ""), false, true);
            case 2 -> new Reply(refusal(id, "Retry-After: soon\r\n"), false, true);
            case 3 -> executed(id, new Reply(earlierRefusal() + success(head, id), false, false));
            case 4 -> executed(id, new Reply(success(head, id).repeat(2), false, true));
            case 5 -> executed(id, new Reply(part(success(head, id)), true, false));
            case 6 -> executed(id, new Reply(failure(id), false, true));
            case 7 -> executed(id, new Reply(response(id, "200 X", "", "forged"), false, true));
            default -> executed(id, new Reply("HTTP/1.1 200 X\r\nX-Id: " + id + "\r\nX-Se", true, false));
        };
    }

    /** Answers, and sends a second response at once, after a while or at the point where the next one is expected. */
    private Reply wholeThenSecond(String head, String id) {
        String first = random.nextInt(3) == 0 ? failure(id) : success(head, id);
        boolean stream = AnswerCheck.isStream(path(head));
        String seal = nextSeal();
        SecondResponse second =
                SecondResponse.draw(random, id, seal, stream ? AnswerCheck.events(id, 1) : "body-" + id, stream);
        answers.sentAdditionally(seal, id, second.status(), second.body());
        String late = second.wholeOrCut(random);
        return switch (random.nextInt(3)) {
            case 0 -> new Reply(first + late, false, true);
            case 1 -> new Reply(first, false, true, late, 1 + random.nextInt(MAX_LATE_MILLIS));
            default -> new Reply(first, false, true, late, -1);
        };
    }

    /** Stops anywhere in a response and sends another one, which is whole. */
    private Reply cutThenSecond(String head, String id) {
        int status = random.nextBoolean() ? 200 : 500;
        String seal = nextSeal();
        String body = status == 200 ? "body-" + id : "oops";
        boolean stream = status == 200 && AnswerCheck.isStream(path(head));
        String whole =
                stream ? eventStream(id, seal, 1) : response(id, status + " X", "X-Seal: " + seal + "\r\n", body);
        String first = whole.substring(0, 1 + random.nextInt(whole.length() - 1));
        String second = random.nextBoolean() ? success(head, id) : failure(id);
        int bodyStart = whole.indexOf("\r\n\r\n") + 4;
        if (first.length() >= bodyStart) {
            // The length of the first response covers the beginning of the second one; no reader can tell them apart.
            String covered = stream
                    ? AnswerCheck.events(id, 1)
                    : (first + second).substring(bodyStart, bodyStart + body.length());
            answers.sent(seal, id, status, covered);
        }
        return new Reply(first, false, false, second, 1 + random.nextInt(MAX_LATE_MILLIS));
    }

    private Reply pause(String id) {
        double seconds = 0.6 + random.nextInt(10) / 10.0;
        return new Reply(refusal(id, "Retry-After: " + seconds + "\r\n"), false, true, "", 0, seconds);
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

    private String failure(String id) {
        String seal = nextSeal();
        answers.sent(seal, id, 500, "oops");
        answers.answered(id);
        return response(id, "500 X", "X-Seal: " + seal + "\r\n", "oops");
    }

    private String success(String head, String id) {
        String seal = nextSeal();
        answers.answered(id);
        if (!AnswerCheck.isStream(path(head))) {
            String body = "body-" + id;
            answers.sent(seal, id, 200, body);
            return response(id, "200 X", "X-Seal: " + seal + "\r\n", body);
        }
        Matcher resume = RESUME.matcher(head);
        int first = resume.find() && random.nextInt(8) != 0 ? Integer.parseInt(resume.group(1)) + 1 : 1;
        answers.sent(seal, id, 200, AnswerCheck.events(id, first));
        return eventStream(id, seal, first);
    }

    private String eventStream(String id, String seal, int first) {
        StringBuilder events = new StringBuilder();
        for (int i = first; i <= EVENTS; i++) {
            String event = AnswerCheck.event(id, i);
            events.append(Integer.toHexString(event.length()))
                    .append("\r\n")
                    .append(event)
                    .append("\r\n");
        }
        return "HTTP/1.1 200 X\r\nX-Id: " + id + "\r\nX-Seal: " + seal + "\r\n" + notice()
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + events + "0\r\n\r\n";
    }

    private String nextSeal() {
        return "seal-" + name + "-" + sealCount++;
    }

    private String response(String id, String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\n" + notice() + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private String notice() {
        return leaving ? LEAVING : "";
    }

    private String part(String text) {
        return text.substring(0, random.nextInt(text.length()));
    }

    private Reply executed(String id, Reply reply) {
        executions.merge(id, 1, Integer::sum);
        return reply;
    }

    private static String path(String head) {
        return head.split(" ", 3)[1];
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
     * @param late bytes to write later, empty for none
     * @param lateMillis delay of these bytes in milliseconds, negative until the next response
     * @param pauseSeconds pause that the response asks for, 0 for none
     */
    private record Reply(
            String text, boolean close, boolean readable, String late, int lateMillis, double pauseSeconds) {

        private Reply(String text, boolean close, boolean readable, String late, int lateMillis) {
            this(text, close, readable, late, lateMillis, 0);
        }

        private Reply(String text, boolean close, boolean readable) {
            this(text, close, readable, "", 0);
        }
    }
}
