package org.coltsfootquay.router.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.coltsfootquay.router.backend.ScriptedServer;

/** Connection of an {@link EmulatedEngine} on which late responses can be sent. May be used from any thread. */
final class EngineConnection {

    private final Socket socket;
    private final OutputStream output;
    private String held = "";
    private boolean disturbed;

    EngineConnection(Socket socket, OutputStream output) {
        this.socket = socket;
        this.output = output;
    }

    /** Returns whether the client may be unable to read the next response. */
    synchronized boolean disturbed() {
        return disturbed || closedByClient();
    }

    /** Returns whether the client has closed the connection; it sends nothing while it waits for a response. */
    private boolean closedByClient() {
        try {
            socket.setSoTimeout(1);
            boolean closed = socket.getInputStream().read() < 0;
            socket.setSoTimeout(0);
            return closed;
        } catch (SocketTimeoutException e) {
            return !resetTimeout();
        } catch (IOException e) {
            return true;
        }
    }

    private boolean resetTimeout() {
        try {
            socket.setSoTimeout(0);
            return true;
        } catch (SocketException e) {
            return false;
        }
    }

    /** Records that bytes are sent that belong to no request in progress. */
    synchronized void disturb() {
        disturbed = true;
    }

    /** Sends a response, after the bytes that were held back for it. */
    synchronized void send(String text) throws IOException {
        output.write(ScriptedServer.ascii(held + text));
        output.flush();
        held = "";
    }

    /** Holds bytes back until the next response. */
    synchronized void hold(String text) {
        held += text;
    }

    /** Sends bytes that may find the connection closed. */
    synchronized void sendLate(String text) {
        try {
            output.write(ScriptedServer.ascii(text));
            output.flush();
        } catch (IOException e) {
            // The client gave the connection up.
            return;
        }
    }
}
