package org.coltsfootquay.router.peer;

/** What became of a frame that was given to the transport. */
public enum SendResult {
    /** The frame was queued; if it cannot be sent, the listener hears that the peer was lost. */
    ACCEPTED,
    /** The write queue to the peer is full; the frame was dropped. */
    QUEUE_FULL,
    /** No address of the peer is known; the frame was dropped. */
    UNKNOWN_PEER,
    /** The frame is larger than a frame may be; it was dropped. */
    TOO_LARGE,
    /** The transport is closed; the frame was dropped. */
    CLOSED
}
