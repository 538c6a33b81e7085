import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Message of HTTP/1.1 as it was read from a connection. */
final class Message {

    final String startLine;
    /** Headers by name in lower case; of equal names the last one. */
    final Map<String, String> headers;

    byte[] body = new byte[0];

    /** Whether the whole body was received, by its length or its last chunk. */
    boolean complete;

    private Message(String startLine, Map<String, String> headers) {
        this.startLine = startLine;
        this.headers = headers;
    }

    /** Reads the head of a message; returns null if the connection ends before it. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = readLine(in); !"".equals(header); header = readLine(in)) {
            if (header == null) {
                throw new EOFException("connection ended within a head");
            }
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
        }
        return new Message(line, headers);
    }

    /** Reads a request with its body; returns null if the connection ends before it. */
    static Message readRequest(InputStream in) throws IOException {
        Message request = readHead(in);
        if (request != null) {
            request.body = in.readNBytes(Integer.parseInt(request.header("content-length", "0")));
            request.complete = true;
        }
        return request;
    }

    /** Reads a response; {@link #complete} tells whether its body ended as its head announces. */
    static Message readResponse(InputStream in) throws IOException {
        Message response = readHead(in);
        if (response == null) {
            throw new EOFException("connection ended without a response");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (response.header("transfer-encoding", "").equals("chunked")) {
                int size = Integer.parseInt(readLineOrFail(in).strip(), 16);
                while (size > 0) {
                    copy(in, body, size);
                    readLineOrFail(in);
                    size = Integer.parseInt(readLineOrFail(in).strip(), 16);
                }
                readLineOrFail(in);
                response.complete = true;
            } else {
                copy(in, body, Integer.parseInt(response.header("content-length", "0")));
                response.complete = true;
            }
        } catch (IOException e) {
            response.complete = false;
        }
        response.body = body.toByteArray();
        return response;
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String header(String name, String absent) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), absent);
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
        byte[] buffer = new byte[8192];
        int left = size;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException("connection ended within a body");
            }
            out.write(buffer, 0, read);
            left -= read;
        }
    }

    private static String readLineOrFail(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("connection ended within a body");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("connection ended within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
