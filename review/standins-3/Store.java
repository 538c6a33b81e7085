import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Stand-in of the platform's store with the calls that routers make: reads, feeds and transactions without part. */
final class Store {

    /** How the store treats calls. */
    enum Mode {
        UP,
        /** Answers 503. */
        BUSY,
        /** Answers nothing. */
        SILENT
    }

    private final ServerSocket listener;
    private final Map<String, TreeMap<String, Map<String, Object>>> tables = new HashMap<>();
    private final long startNanos = System.nanoTime();
    private long version = 100;
    private volatile Mode mode = Mode.UP;

    Store(String ip) throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Threads.start("store", this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    synchronized long put(String table, String key, String value) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("Table", table);
        row.put("part", "");
        row.put("Key", key);
        row.put("Value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        return store(row);
    }

    synchronized long remove(String table, String key) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("Table", table);
        row.put("part", "");
        row.put("Key", key);
        row.put("Deleted", true);
        return store(row);
    }

    private long store(Map<String, Object> row) {
        row.put("Ver", ++version);
        tables.computeIfAbsent(row.get("Table").toString(), name -> new TreeMap<>())
                .put(row.get("Key").toString(), row);
        notifyAll();
        return version;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start("store call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            for (Message call = Message.read(socket.getInputStream());
                    call != null;
                    call = Message.read(socket.getInputStream())) {
                if (mode == Mode.SILENT) {
                    Thread.sleep(TimeUnit.MINUTES.toMillis(5));
                }
                if (mode == Mode.BUSY) {
                    answer(socket.getOutputStream(), "503 Service Unavailable", "{}");
                } else {
                    answer(socket.getOutputStream(), "200 OK", handle(call));
                }
            }
        }
    }

    private String handle(Message call) throws InterruptedException {
        String[] target = call.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        if (target[0].equals(Wire.name("path.tx"))) {
            return transact(new String(call.body, StandardCharsets.UTF_8));
        }
        if (target[0].equals(Wire.name("path.get"))) {
            return rows(query.get("Table"), 0, false);
        }
        return feed(query.get("Table"), Long.parseLong(query.get("After")), Long.parseLong(query.get("WaitMs")));
    }

    @SuppressWarnings("unchecked")
    private synchronized String transact(String body) {
        Map<String, Object> transaction = (Map<String, Object>) Json.parse(body);
        for (Object put : (List<Object>) transaction.getOrDefault("Put", List.of())) {
            store(new LinkedHashMap<>((Map<String, Object>) put));
        }
        for (Object drop : (List<Object>) transaction.getOrDefault("Remove", List.of())) {
            Map<String, Object> row = (Map<String, Object>) drop;
            remove(row.get("Table").toString(), row.get("Key").toString());
        }
        return Json.write(head(new LinkedHashMap<>()));
    }

    private synchronized String feed(String table, long after, long waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (newer(table, after, true).isEmpty() && mode == Mode.UP) {
            long left = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            if (left <= 0) {
                break;
            }
            wait(Math.min(left, 50));
        }
        return rows(table, after, true);
    }

    private synchronized String rows(String table, long after, boolean withRemovals) {
        Map<String, Object> reply = new LinkedHashMap<>();
        reply.put("Rows", newer(table, after, withRemovals));
        reply.put("Truncated", false);
        return Json.write(head(reply));
    }

    private List<Map<String, Object>> newer(String table, long after, boolean withRemovals) {
        return new ArrayList<>(tables.getOrDefault(table, new TreeMap<>()).values())
                .stream()
                        .filter(row -> ((Number) row.get("Ver")).longValue() > after)
                        .filter(row -> withRemovals || !row.containsKey("Deleted"))
                        .sorted((a, b) -> withRemovals
                                ? Long.compare(((Number) a.get("Ver")).longValue(), ((Number) b.get("Ver")).longValue())
                                : a.get("Key").toString().compareTo(b.get("Key").toString()))
                        .toList();
    }

    private Map<String, Object> head(Map<String, Object> reply) {
        reply.put("Ver", version);
        reply.put("NowMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) + 50_000);
        return reply;
    }

    private static void answer(OutputStream out, String status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + "\r\n" + Wire.header("era") + ": 1\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + bytes.length + "\r\n\r\n";
        out.write(concat(head.getBytes(StandardCharsets.ISO_8859_1), bytes));
        out.flush();
    }

    static byte[] concat(byte[] first, byte[] second) {
        byte[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
