package org.coltsfootquay.router.backend;

/** Call in progress; methods may be called from any thread. */
public interface BackendCall {

    /** Stops reading from the server; parts that were already read may still arrive. */
    void pause();

    /** Reads on from the server. */
    void resume();

    /** Closes the connection and fails the call, unless it has ended. */
    void cancel();
}
