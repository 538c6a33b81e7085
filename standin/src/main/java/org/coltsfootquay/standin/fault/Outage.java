package org.coltsfootquay.standin.fault;

/**
 * Ways in which a stand-in can be out of service.
 *
 * <p>Work that an engine or application server had accepted goes on; {@link #SILENT} and {@link #BROKEN} keep its
 * results from the callers.
 */
public enum Outage {
    /** The stand-in works. */
    NONE,
    /** The stand-in answers 503 {@code unavailable} and does nothing. */
    UNAVAILABLE,
    /** The stand-in accepts requests, does nothing and never answers. */
    SILENT,
    /** The stand-in breaks each connection on which a request arrives and does nothing. */
    BROKEN
}
