package org.coltsfootquay.decision.configuration;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.store.ObjectStore;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Applies configuration changes by operators.
 *
 * <p>A submission writes the configuration object, then updates the pointer row on the condition that its revision is
 * unchanged. Single-threaded: calls and callbacks run on the thread that drives the timer service.
 */
public final class ConfigurationSubmitter {

    private final TableStore store;
    private final ObjectStore objects;
    private final ConfigurationCodec codec;
    private final StoreWatcher watcher;
    private final TimerService timer;
    private final RandomGenerator random;
    private final ConfigurationSettings settings;
    private int submissionsInProgress;
    private boolean stopped;
    private Runnable stopCallback;

    /**
     * Creates a submitter.
     *
     * @param store table service
     * @param objects object store
     * @param codec encoder and decoder of stored configurations
     * @param watcher cache of the watched rows, polled after a change
     * @param timer timer service
     * @param random random source for jitter and submission identifiers
     * @param settings settings
     */
    public ConfigurationSubmitter(
            TableStore store,
            ObjectStore objects,
            ConfigurationCodec codec,
            StoreWatcher watcher,
            TimerService timer,
            RandomGenerator random,
            ConfigurationSettings settings) {
        this.store = ArgumentUtils.requireValue(store, "store");
        this.objects = ArgumentUtils.requireValue(objects, "object store");
        this.codec = ArgumentUtils.requireValue(codec, "codec");
        this.watcher = ArgumentUtils.requireValue(watcher, "watcher");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.random = ArgumentUtils.requireValue(random, "random");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
    }

    /**
     * Replaces the whole configuration.
     *
     * @param expectedVersion version that the new configuration is based on
     * @param content new configuration, in any form that the codec decodes; it is stored as the codec encodes it
     * @param callback receives the result once, within the submit timeout plus one store timeout
     */
    public void submit(long expectedVersion, byte[] content, Consumer<SubmitResult> callback) {
        byte[] copy = content.clone();
        new Submission(Optional.of(expectedVersion), current -> Optional.of(copy), callback).start();
    }

    /**
     * Changes the state of a zone, based on the current version.
     *
     * @param zone zone
     * @param state new state of the zone
     * @param callback receives the result once
     */
    public void changeZone(ZoneName zone, AdministrativeState state, Consumer<SubmitResult> callback) {
        change(
                current -> {
                    Zone old = current.zones().get(zone);
                    if (old == null) {
                        return Either.left("zone " + zone + " does not exist; name a zone of the configuration");
                    }
                    Map<ZoneName, Zone> zones = new LinkedHashMap<>(current.zones());
                    zones.put(zone, new Zone(zone, old.region(), state));
                    return Either.right(new FleetConfiguration(
                            current.version(),
                            zones,
                            current.services(),
                            current.servers(),
                            current.classes(),
                            current.workspaces()));
                },
                callback);
    }

    /**
     * Changes the state of a backend server, based on the current version.
     *
     * @param server server
     * @param state new state of the server
     * @param callback receives the result once
     */
    public void changeServer(ServerName server, AdministrativeState state, Consumer<SubmitResult> callback) {
        change(
                current -> {
                    BackendServer old = current.servers().get(server);
                    if (old == null) {
                        return Either.left("server " + server + " does not exist; name a server of the configuration");
                    }
                    Map<ServerName, BackendServer> servers = new LinkedHashMap<>(current.servers());
                    servers.put(
                            server,
                            new BackendServer(
                                    server, old.service(), old.zone(), old.address(), old.checksFencing(), state));
                    return Either.right(new FleetConfiguration(
                            current.version(),
                            current.zones(),
                            current.services(),
                            servers,
                            current.classes(),
                            current.workspaces()));
                },
                callback);
    }

    /**
     * Stops the submitter; unresolved submissions get a result instead of being retried.
     *
     * @param callback invoked once when no submission is in progress
     */
    public void stop(Runnable callback) {
        stopped = true;
        if (submissionsInProgress == 0) {
            callback.run();
        } else {
            stopCallback = callback;
        }
    }

    private void change(Change change, Consumer<SubmitResult> callback) {
        Submission submission = new Submission(Optional.empty(), null, callback);
        submission.source = current -> {
            Either<String, FleetConfiguration> changed = change.apply(current);
            if (changed.isLeft()) {
                submission.finish(new SubmitResult.Invalid(List.of(changed.getLeft())));
                return Optional.empty();
            }
            if (changed.get().equals(current)) {
                submission.finish(new SubmitResult.Accepted(current.version()));
                return Optional.empty();
            }
            return Optional.of(codec.encode(changed.get()));
        };
        submission.start();
    }

    /** Change that can be applied to any version, because it commutes with other changes. */
    private interface Change {

        Either<String, FleetConfiguration> apply(FleetConfiguration current);
    }

    /** Derives the new stored form from the current configuration; empty if it has finished the submission. */
    private interface Source {

        Optional<byte[]> content(FleetConfiguration current);
    }

    /** Submission from its start to its result. */
    private final class Submission {

        private final Optional<Long> expectedVersion;
        private final Consumer<SubmitResult> callback;
        private final long deadlineNanos;
        private Source source;
        private String submissionId = newSubmissionId();
        private boolean pointerWriteSent;
        private boolean finished;
        private int attempts;

        private Submission(Optional<Long> expectedVersion, Source source, Consumer<SubmitResult> callback) {
            this.expectedVersion = expectedVersion;
            this.source = source;
            this.callback = callback;
            this.deadlineNanos = timer.nowNanos() + settings.submitTimeout().toNanos();
        }

        private void start() {
            submissionsInProgress++;
            readPointer();
        }

        private void readPointer() {
            store.read(ConfigurationPointer.KEY, result -> {
                if (result.isLeft()) {
                    retry("the store did not respond: " + result.getLeft().getMessage());
                } else {
                    handlePointer(result.get().filter(row -> !row.deleted()));
                }
            });
        }

        private void handlePointer(Optional<Row> row) {
            ConfigurationPointer pointer =
                    row.map(found -> ConfigurationPointer.of(found.value())).orElse(ConfigurationPointer.none());
            Optional<Long> own = pointer.versionOf(submissionId);
            if (own.isPresent()) {
                finish(new SubmitResult.Accepted(own.get()));
            } else if (expectedVersion.isPresent() && expectedVersion.get() != pointer.version()) {
                finish(new SubmitResult.Conflict(expectedVersion.get(), pointer.version()));
            } else if (expectedVersion.isPresent() || pointer.current().isEmpty()) {
                prepare(row, pointer, FleetConfiguration.none());
            } else {
                objects.get(pointer.current().get().object(), result -> {
                    if (result.isLeft()) {
                        retry("the object store did not respond: "
                                + result.getLeft().getMessage());
                        return;
                    }
                    Either<List<String>, FleetConfiguration> current = codec.decode(pointer.version(), result.get());
                    if (current.isLeft()) {
                        finish(new SubmitResult.Invalid(current.getLeft()));
                    } else {
                        prepare(row, pointer, current.get());
                    }
                });
            }
        }

        private void prepare(Optional<Row> row, ConfigurationPointer pointer, FleetConfiguration current) {
            Optional<byte[]> content = source.content(current);
            if (content.isEmpty() || finished) {
                return;
            }
            Either<List<String>, FleetConfiguration> checked = codec.decode(pointer.version() + 1, content.get());
            if (checked.isLeft()) {
                finish(new SubmitResult.Invalid(checked.getLeft()));
                return;
            }
            byte[] stored = codec.encode(checked.get());
            String object = ConfigurationDigest.objectName(stored);
            objects.put(object, stored, outcome -> {
                switch (outcome) {
                    case APPLIED -> writePointer(row, pointer.next(object, submissionId));
                    default -> retry("the object store did not confirm the object");
                }
            });
        }

        private void writePointer(Optional<Row> row, ConfigurationPointer next) {
            if (stopped || timer.nowNanos() >= deadlineNanos) {
                retry("the submit timeout passed or the router is stopping");
                return;
            }
            pointerWriteSent = true;
            PointerWrite write = new PointerWrite(row, next);
            store.writeAtomically(List.of(write.toPut()), results -> {
                switch (results.get(0).outcome()) {
                    case APPLIED -> finish(new SubmitResult.Accepted(next.version()));
                    default -> retry("the store did not confirm the change");
                }
            });
        }

        /** Starts over after a random delay, or gives up at the deadline. */
        private void retry(String reason) {
            if (stopped || timer.nowNanos() >= deadlineNanos) {
                finish(
                        pointerWriteSent
                                ? new SubmitResult.Unknown(submissionId)
                                : new SubmitResult.Unavailable(reason + "; try again when the store responds"));
                return;
            }
            long maxDelayNanos = Math.min(
                    settings.maxRetryDelay().toNanos(), settings.retryDelay().toNanos() << Math.min(attempts++, 10));
            timer.scheduleOnce(
                    "configuration submission",
                    Duration.ofNanos(Math.round(maxDelayNanos * random.nextDouble())),
                    this::readPointer);
        }

        private void finish(SubmitResult result) {
            if (finished) {
                return;
            }
            finished = true;
            submissionsInProgress--;
            if (result instanceof SubmitResult.Accepted) {
                watcher.requestPoll();
            }
            callback.accept(result);
            if (stopped && submissionsInProgress == 0 && stopCallback != null) {
                stopCallback.run();
                stopCallback = null;
            }
        }
    }

    private String newSubmissionId() {
        return Long.toHexString(random.nextLong());
    }
}
