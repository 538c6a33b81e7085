import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Link between the routers and one engine. While it is cut, nothing passes in either direction, not even the end of a
 * channel, and new channels are refused; what was held up passes once the cut has ended, as after retransmissions.
 */
final class Link {

    private final InetAddress host;
    private final int port;
    private int target;
    private ServerSocket socket;
    private boolean cut;

    Link(InetAddress host, int target) throws IOException {
        this.host = host;
        this.target = target;
        this.socket = new ServerSocket(0, 200, host);
        this.port = socket.getLocalPort();
        accept(socket);
    }

    String address() {
        return host.getHostAddress() + ":" + port;
    }

    synchronized void cut() throws IOException {
        cut = true;
        socket.close();
    }

    /** Refuses new channels, as the address of an engine that has ended does. */
    synchronized void refuse() throws IOException {
        socket.close();
    }

    /** Ends the cut or the refusal; new channels lead to the given port of the engine. */
    synchronized void heal(int newTarget) throws IOException {
        target = newTarget;
        socket = new ServerSocket(port, 200, host);
        accept(socket);
        cut = false;
        notifyAll();
    }

    private void accept(ServerSocket listening) {
        Threads.start("link", () -> {
            while (true) {
                Socket caller = listening.accept();
                Threads.start("link connection", () -> connect(caller));
            }
        });
    }

    private void connect(Socket caller) throws IOException {
        Socket engine;
        try {
            engine = new Socket(host, target);
        } catch (IOException e) {
            caller.close();
            throw e;
        }
        caller.setTcpNoDelay(true);
        engine.setTcpNoDelay(true);
        Threads.start("link up", () -> forward(caller, engine));
        Threads.start("link down", () -> forward(engine, caller));
    }

    private void forward(Socket from, Socket to) throws IOException, InterruptedException {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[16384];
            int read = in.read(buffer);
            while (read >= 0) {
                awaitPassage();
                out.write(buffer, 0, read);
                read = in.read(buffer);
            }
            awaitPassage();
        }
    }

    private synchronized void awaitPassage() throws InterruptedException {
        while (cut) {
            wait();
        }
    }
}
