import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 message that is read from a socket. */
final class Message {

    final String firstLine;
    final Map<String, String> headers;
    byte[] body = new byte[0];

    private Message(String firstLine, Map<String, String> headers) {
        this.firstLine = firstLine;
        this.headers = headers;
    }

    /** Reads the first line and the headers; returns null if the connection ends before them. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("connection ended within a head");
            }
            if (line.isEmpty()) {
                return new Message(first, headers);
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
    }

    /** Reads a whole message with a length or in chunks. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.body = message.readBody(in);
        }
        return message;
    }

    byte[] readBody(InputStream in) throws IOException {
        if (isChunked()) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                all.writeBytes(chunk);
            }
            return all.toByteArray();
        }
        return readExactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    boolean isChunked() {
        return "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
    }

    /** Reads one chunk; empty if it is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("connection ended before the last chunk");
        }
        byte[] chunk = readExactly(in, Integer.parseInt(size.split(";")[0].strip(), 16));
        if (chunk.length == 0) {
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                continue;
            }
        } else {
            readLine(in);
        }
        return chunk;
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String target() {
        return firstLine.split(" ")[1];
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("connection ended within a body: " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                if (line.size() > 0) {
                    throw new EOFException("connection ended within a line");
                }
                return null;
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
