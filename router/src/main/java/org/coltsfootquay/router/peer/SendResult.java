package org.coltsfootquay.router.peer;

/** Result of passing a frame to the transport. */
public enum SendResult {
    /** The frame was queued; if it cannot be sent, the loss of the peer is reported to the listener. */
    ACCEPTED,
    /** The write queue to the peer is full; the frame was dropped. */
    QUEUE_FULL,
    /** The address of the peer is not known; the frame was dropped. */
    UNKNOWN_PEER,
    /** The frame exceeds the maximum size; it was dropped. */
    TOO_LARGE,
    /** The transport is closed; the frame was dropped. */
    CLOSED
}
