import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: rows with versions, full reads, long polls and transactions. */
final class Store {

    private record Row(String table, String key, String value, long version, boolean deleted) {}

    private final ServerSocket socket;
    private final long startNanos = System.nanoTime();
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version;

    Store(InetAddress host) throws IOException {
        socket = new ServerSocket(0, 200, host);
        Threads.start("store", this::accept);
    }

    String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    /** Writes a row and returns its version; the return is the acknowledgement. */
    synchronized long put(String table, String key, String text) {
        return change(new Row(table, key, encode(text), version + 1, false));
    }

    /** Removes a row. */
    synchronized long remove(String table, String key) {
        return change(new Row(table, key, "", version + 1, true));
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private long change(Row row) {
        version = row.version;
        history.add(row);
        if (row.deleted) {
            rows.remove(row.table + "/" + row.key);
        } else {
            rows.put(row.table + "/" + row.key, row);
        }
        notifyAll();
        return version;
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            Threads.start("store connection", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        connection.setTcpNoDelay(true);
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Message request = Message.readRequest(in); request != null; request = Message.readRequest(in)) {
                byte[] body = answer(request).getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
            }
        }
    }

    private synchronized String answer(Message request) throws InterruptedException {
        String[] target = request.startLine.split(" ")[1].split("\\?", 2);
        Map<String, String> parameters = parameters(target.length > 1 ? target[1] : "");
        if (target[0].equals(Wire.get("path.tx"))) {
            transact(new String(request.body, StandardCharsets.UTF_8));
            return "{" + versionFields() + "}";
        }
        String table = parameters.get("Table");
        if (target[0].equals(Wire.get("path.get"))) {
            return "{\"Rows\":" + json(rows.values(), table, 0) + ",\"Truncated\":false," + versionFields() + "}";
        }
        long after = Long.parseLong(parameters.get("After"));
        long endNanos = System.nanoTime() + Long.parseLong(parameters.get("WaitMs")) * 1_000_000;
        while (!changedAfter(table, after) && System.nanoTime() < endNanos) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        }
        return "{\"Rows\":" + json(history, table, after) + "," + versionFields() + "}";
    }

    private boolean changedAfter(String table, long after) {
        return history.stream().anyMatch(row -> row.table.equals(table) && row.version > after);
    }

    private String versionFields() {
        return "\"Ver\":" + version + ",\"NowMs\":" + (1_000 + (System.nanoTime() - startNanos) / 1_000_000);
    }

    private static String json(Iterable<Row> all, String table, long after) {
        List<String> selected = new ArrayList<>();
        for (Row row : all) {
            if (row.table.equals(table) && row.version > after) {
                selected.add("{\"Table\":\"" + row.table + "\",\"part\":\"\",\"Key\":\"" + row.key + "\","
                        + (row.deleted ? "\"Deleted\":true" : "\"Value\":\"" + row.value + "\"") + ",\"Ver\":"
                        + row.version + "}");
            }
        }
        return "[" + String.join(",", selected) + "]";
    }

    @SuppressWarnings("unchecked")
    private void transact(String text) {
        Map<String, Object> call = (Map<String, Object>) Json.parse(text);
        for (Object put : (List<Object>) call.get("Put")) {
            Map<String, Object> row = (Map<String, Object>) put;
            change(new Row(
                    (String) row.get("Table"), (String) row.get("Key"), (String) row.get("Value"), version + 1, false));
        }
        for (Object removal : (List<Object>) call.get("Remove")) {
            Map<String, Object> row = (Map<String, Object>) removal;
            change(new Row((String) row.get("Table"), (String) row.get("Key"), "", version + 1, true));
        }
    }

    private static Map<String, String> parameters(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : query.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2) {
                parameters.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }
}
