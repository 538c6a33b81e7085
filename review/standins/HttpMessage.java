import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Head of an HTTP/1.1 message, and readers for its body. */
final class HttpMessage {

    final String startLine;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

    private HttpMessage(String startLine) {
        this.startLine = startLine;
    }

    /** Reads a head; returns null if the connection ends before its first byte. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        HttpMessage message = new HttpMessage(line);
        for (line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        return message;
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    int contentLength() {
        return headers.containsKey("Content-Length") ? Integer.parseInt(header("Content-Length")) : -1;
    }

    boolean chunked() {
        return header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked");
    }

    /** Reads a complete body, as its framing tells; throws if the connection ends before that. */
    byte[] readBody(InputStream in) throws IOException {
        if (!chunked()) {
            return readExactly(in, Math.max(0, contentLength()));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(requireLine(in).split(";")[0].strip(), 16);
            if (size == 0) {
                while (!requireLine(in).isEmpty()) {
                    continue;
                }
                return body.toByteArray();
            }
            body.writeBytes(readExactly(in, size));
            requireLine(in);
        }
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String requireLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("ended inside a message");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c != '\n') {
            if (c < 0) {
                throw new EOFException("ended inside a line");
            }
            if (c != '\r') {
                line.write(c);
            }
            c = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
