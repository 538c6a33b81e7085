import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
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

/** The platform's store: rows with one version counter, conditional transactions and a feed of changes. */
final class StoreStandIn {

    private record Row(String table, String key, String value, long version, boolean deleted) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final ServerSocket socket;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;

    StoreStandIn(String host) throws IOException {
        socket = new ServerSocket(0, 64, InetAddress.getByName(host));
        Threads.start("store", this::accept);
    }

    String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    /** Writes a row with JSON text and returns its version, which is the acknowledgement. */
    synchronized long put(String table, String key, String json) {
        return store(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false);
    }

    synchronized long remove(String table, String key) {
        return store(table, key, "", true);
    }

    private long store(String table, String key, String value, boolean deleted) {
        Row row = new Row(table, key, value, ++version, deleted);
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
        if (deleted) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        history.add(row);
        notifyAll();
        return version;
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            connection.setTcpNoDelay(true);
            Threads.start("store connection", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (HttpMessage request = HttpMessage.readHead(in); request != null; request = HttpMessage.readHead(in)) {
                byte[] body = request.readBody(in);
                Map<String, String> query = query(request.target());
                String path = request.target().split("\\?")[0];
                ObjectNode reply = answer(path, query, body);
                int status = reply.has("status") ? reply.remove("status").asInt() : 200;
                byte[] bytes = mapper.writeValueAsBytes(reply);
                String head = "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n";
                connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                connection.getOutputStream().write(bytes);
            }
        }
    }

    private ObjectNode answer(String path, Map<String, String> query, byte[] body) throws IOException {
        if (path.equals(Wire.STORE_READ)) {
            return read(query);
        }
        if (path.equals(Wire.STORE_FEED)) {
            return feed(query);
        }
        if (path.equals(Wire.STORE_COMMIT)) {
            return commit(mapper.readTree(body));
        }
        throw new IOException("no such call: " + path);
    }

    private synchronized ObjectNode read(Map<String, String> query) {
        String from = query.getOrDefault(Wire.RANGE_START, "");
        ObjectNode reply = reply();
        ArrayNode rows = reply.putArray("Rows");
        tables.getOrDefault(query.get("Table"), new TreeMap<>()).tailMap(from, true).values().forEach(row ->
                rows.add(json(row)));
        return reply.put("Truncated", false);
    }

    private synchronized ObjectNode feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("After"));
        long end = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000;
        while (true) {
            List<Row> changes = history.stream()
                    .filter(row -> row.table().equals(query.get("Table")) && row.version() > after)
                    .toList();
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || left <= 0) {
                ObjectNode reply = reply();
                ArrayNode rows = reply.putArray("Rows");
                changes.forEach(row -> rows.add(json(row)));
                return reply;
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private synchronized ObjectNode commit(JsonNode transaction) {
        for (JsonNode expected : transaction.path(Wire.EXPECTED_ROWS)) {
            Row row = tables.getOrDefault(expected.path("Table").asText(), new TreeMap<>())
                    .get(expected.path("Key").asText());
            if ((row == null ? 0 : row.version()) != expected.path("Ver").asLong()) {
                return reply().put("status", 412);
            }
        }
        for (JsonNode put : transaction.path("Put")) {
            store(put.path("Table").asText(), put.path("Key").asText(), put.path("Value").asText(), false);
        }
        for (JsonNode removed : transaction.path("Remove")) {
            store(removed.path("Table").asText(), removed.path("Key").asText(), "", true);
        }
        return reply();
    }

    private ObjectNode reply() {
        return mapper.createObjectNode().put("Ver", version).put("NowMs", System.nanoTime() / 1_000_000);
    }

    private ObjectNode json(Row row) {
        ObjectNode node = mapper.createObjectNode()
                .put("Table", row.table())
                .put("part", "")
                .put("Key", row.key())
                .put("Ver", row.version());
        return row.deleted() ? node.put("Deleted", true) : node.put("Value", row.value());
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        for (String pair : start < 0 ? new String[0] : target.substring(start + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }
}
