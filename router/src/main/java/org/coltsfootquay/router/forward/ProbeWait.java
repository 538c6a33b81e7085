package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Wait of one request while another one with the same suspected prompt part may be at a server; runs on the event loop.
 */
final class ProbeWait {

    /** Outcome of a request that has waited in vain. */
    private static final String SUSPECTED = "suspected_part";

    /** Maximum time for which a request waits; longer than most prompts wait for their first event. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(2);

    private final ForwardingContext context;
    private final RelayLog log;
    private final Supplier<PromptPartTracker> parts;
    private final Runnable trySend;
    private final BiConsumer<String, Duration> fail;
    private final Runnable check = this::check;
    private boolean waited;
    private long sinceNanos;

    /**
     * Creates a wait that has not begun.
     *
     * @param parts prompt parts of the current send of the request
     * @param trySend sends the request, or rejects it if one of its parts is proved
     * @param fail rejects the request for a reason and tells its caller when to return
     */
    ProbeWait(
            ForwardingContext context,
            RelayLog log,
            Supplier<PromptPartTracker> parts,
            Runnable trySend,
            BiConsumer<String, Duration> fail) {
        this.context = context;
        this.log = log;
        this.parts = parts;
        this.trySend = trySend;
        this.fail = fail;
    }

    /** Lets the request wait if it must not be sent now; returns whether it waits. */
    boolean defer() {
        if (parts.get().maySend()) {
            return false;
        }
        if (!waited) {
            waited = true;
            sinceNanos = context.timers().nowNanos();
            context.metrics().count("coltsfootquay_probe_waits_total");
            log.waitingForProbe(parts.get().sharedParts());
        }
        context.probeQueue().add(check);
        return true;
    }

    /** Records that the request is not, or no longer, at a server; ends the wait if there is one. */
    void sendEnded() {
        context.probeQueue().remove(check);
        parts.get().sendEnded();
        waited = false;
    }

    private void check() {
        PromptPartTracker current = parts.get();
        if (current.rejection().isPresent() || current.maySend()) {
            context.probeQueue().remove(check);
            trySend.run();
        } else if (context.timers().nowNanos() - sinceNanos >= MAX_WAIT.toNanos()) {
            fail.accept(SUSPECTED, RetryAfter.QUARANTINE_SETTLED);
        }
    }
}
