import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Connection of a caller. */
final class Client implements AutoCloseable {

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(String address) throws IOException {
        this(address, 0);
    }

    /** Connects with a receive buffer of a size, or of the usual one if it is 0. */
    Client(String address, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        int colon = address.lastIndexOf(':');
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
        in = receiveBuffer > 0 ? socket.getInputStream() : new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the head of a request. */
    static String head(String method, String path, String id, long deadlineMillis, int length, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\n" + Wire.header("id") + ": " + id
                + "\r\n" + Wire.header("deadline") + ": " + deadlineMillis + "\r\n" + Wire.header("key") + ": "
                + Fleet.KEY + "\r\n" + more + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    void send(String head, byte[] body) throws IOException {
        socket.getOutputStream().write(Store.concat(head.getBytes(StandardCharsets.ISO_8859_1), body));
        socket.getOutputStream().flush();
    }

    Message read(int millis) throws IOException {
        socket.setSoTimeout(millis);
        Message message = Message.read(in);
        if (message == null) {
            throw new IOException("connection closed without an answer");
        }
        return message;
    }

    Message readHead(int millis) throws IOException {
        socket.setSoTimeout(millis);
        Message message = Message.readHead(in);
        if (message == null) {
            throw new IOException("connection closed without an answer");
        }
        return message;
    }

    InputStream input() {
        return in;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
