package org.coltsfootquay.router.backend;

/** Call in progress; thread-safe. */
public interface BackendCall {

    /** Pauses reading from the server; data that was already read may still be delivered. */
    void pause();

    /** Resumes reading from the server. */
    void resume();

    /** Closes the connection and fails the call, unless it has ended. */
    void cancel();
}
