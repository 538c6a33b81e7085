package org.coltsfootquay.decision.configuration;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.store.ObjectStore;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Brings configuration versions into force.
 *
 * <p>Versions are announced by the pointer row or by peers; the version in force only ever increases. Single-threaded:
 * calls and callbacks run on the thread that drives the timer service.
 */
public final class ConfigurationController {

    private final ObjectStore objects;
    private final ConfigurationCodec codec;
    private final SnapshotRequester requester;
    private final StoreWatcher watcher;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final RandomGenerator random;
    private final ConfigurationSettings settings;

    private long targetVersion;
    private String targetObject = "";
    private String rejectedObject = "";
    private boolean fetchInFlight;
    private int failures;
    private TimerService.ScheduledTask retry;
    private String objectInForce = "";
    private byte[] contentInForce = new byte[0];
    private boolean stopped;
    private Runnable stopCallback;

    /**
     * Creates a controller, which stays idle until {@link #start()}.
     *
     * @param objects object store
     * @param codec decoder of stored configurations
     * @param requester requests objects from peers if the object store does not return them
     * @param watcher cache of the watched rows
     * @param timer timer service
     * @param blackboard blackboard that receives {@link ConfigurationTopic#IN_FORCE}
     * @param timeline sink for timeline events
     * @param random random source for jitter
     * @param settings settings
     */
    public ConfigurationController(
            ObjectStore objects,
            ConfigurationCodec codec,
            SnapshotRequester requester,
            StoreWatcher watcher,
            TimerService timer,
            Blackboard blackboard,
            TimelineSink timeline,
            RandomGenerator random,
            ConfigurationSettings settings) {
        this.objects = ArgumentUtils.requireValue(objects, "object store");
        this.codec = ArgumentUtils.requireValue(codec, "codec");
        this.requester = ArgumentUtils.requireValue(requester, "requester");
        this.watcher = ArgumentUtils.requireValue(watcher, "watcher");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.timeline = ArgumentUtils.requireValue(timeline, "timeline");
        this.random = ArgumentUtils.requireValue(random, "random");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
    }

    /** Starts following the pointer row. */
    public void start() {
        watcher.subscribe(this::rowsChanged);
    }

    /**
     * Stops the controller; no further version is brought into force.
     *
     * @param callback invoked once when no read is in flight
     */
    public void stop(Runnable callback) {
        stopped = true;
        if (retry != null) {
            retry.cancel();
        }
        if (fetchInFlight) {
            stopCallback = callback;
        } else {
            callback.run();
        }
    }

    /**
     * Handles the announcement of the version that a peer has in force.
     *
     * @param version version
     * @param object name of the object
     */
    public void versionAnnounced(long version, String object) {
        advanceTo(version, object);
        if (version == inForce().version()) {
            publishConfirmation(timer.nowNanos());
        }
    }

    /**
     * Handles an object that a peer sent.
     *
     * @param content content of the object; ignored unless it is the object being fetched
     */
    public void snapshotReceived(byte[] content) {
        if (!stopped && targetVersion > inForce().version() && matches(targetObject, content)) {
            bringIntoForce(targetVersion, targetObject, content);
        }
    }

    /**
     * Returns the name of the object in force.
     *
     * @return name, or an empty string before the first version
     */
    public String objectInForce() {
        return objectInForce;
    }

    /**
     * Returns the content of an object that a peer requested.
     *
     * @param object name of the object
     * @return content, or empty if another object is in force
     */
    public Optional<byte[]> snapshotFor(String object) {
        return !object.isEmpty() && object.equals(objectInForce)
                ? Optional.of(contentInForce.clone())
                : Optional.empty();
    }

    private FleetConfiguration inForce() {
        return blackboard.read(ConfigurationTopic.IN_FORCE);
    }

    private void rowsChanged() {
        Optional<ConfigurationPointer> pointer =
                watcher.row(ConfigurationPointer.KEY).map(row -> ConfigurationPointer.of(row.value()));
        pointer.flatMap(ConfigurationPointer::current).ifPresent(entry -> advanceTo(entry.version(), entry.object()));
        long newest = pointer.map(ConfigurationPointer::version).orElse(0L);
        if (newest <= inForce().version()) {
            watcher.completeAsOfNanos().ifPresent(this::publishConfirmation);
        }
    }

    private void publishConfirmation(long nanos) {
        if (nanos > blackboard.read(ConfigurationFreshness.TOPIC).confirmedNanos()) {
            blackboard.write(ConfigurationFreshness.TOPIC, new ConfigurationFreshness(nanos));
        }
    }

    private void advanceTo(long version, String object) {
        if (stopped || version <= inForce().version() || version < targetVersion) {
            return;
        }
        if (version > targetVersion) {
            targetVersion = version;
            targetObject = object;
            failures = 0;
            if (retry != null) {
                retry.cancel();
                retry = null;
            }
        }
        if (retry == null) {
            fetch();
        }
    }

    private void fetch() {
        retry = null;
        if (stopped || fetchInFlight || targetVersion <= inForce().version() || targetObject.equals(rejectedObject)) {
            return;
        }
        fetchInFlight = true;
        long version = targetVersion;
        String object = targetObject;
        objects.get(object, result -> handleFetched(version, object, result));
    }

    private void handleFetched(long version, String object, Either<?, byte[]> result) {
        fetchInFlight = false;
        if (stopped) {
            if (stopCallback != null) {
                stopCallback.run();
                stopCallback = null;
            }
            return;
        }
        if (result.isRight() && matches(object, result.get())) {
            bringIntoForce(version, object, result.get());
        } else {
            failures++;
            requester.request(version, object);
        }
        if (targetVersion > inForce().version()) {
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        long maxDelayNanos = Math.min(
                settings.maxRetryDelay().toNanos(), settings.retryDelay().toNanos() << Math.min(failures, 10));
        retry = timer.scheduleOnce(
                "configuration object",
                Duration.ofNanos(maxDelayNanos / 2 + Math.round(maxDelayNanos / 2.0 * random.nextDouble())),
                this::fetch);
    }

    private static boolean matches(String object, byte[] content) {
        return ConfigurationDigest.objectName(content).equals(object);
    }

    private void bringIntoForce(long version, String object, byte[] content) {
        if (version <= inForce().version()) {
            return;
        }
        Either<List<String>, FleetConfiguration> decoded = codec.decode(version, content);
        if (decoded.isLeft()) {
            rejectedObject = object;
            timeline.record(TimelineEvent.of(
                    EventKind.CONFIGURATION_REJECTED,
                    "version",
                    version,
                    "object",
                    object,
                    "reason",
                    String.join("; ", decoded.getLeft())));
            return;
        }
        FleetConfiguration before = inForce();
        objectInForce = object;
        contentInForce = content.clone();
        blackboard.write(ConfigurationTopic.IN_FORCE, decoded.get());
        timeline.record(TimelineEvent.of(EventKind.CONFIGURATION_IN_FORCE, "version", version, "object", object));
        recordStateChanges(before, decoded.get());
        if (version == targetVersion) {
            publishConfirmation(watcher.completeAsOfNanos().orElse(Long.MIN_VALUE / 2));
        }
    }

    private void recordStateChanges(FleetConfiguration before, FleetConfiguration after) {
        after.zones().values().forEach(zone -> {
            boolean wasLeaving = before.zones().containsKey(zone.name()) && !before.inService(zone.name());
            boolean leaving = zone.state() == AdministrativeState.LEAVING;
            if (leaving != wasLeaving) {
                timeline.record(TimelineEvent.of(
                        leaving ? EventKind.ZONE_LEAVING : EventKind.ZONE_RETURNED,
                        "zone",
                        zone.name(),
                        "version",
                        after.version()));
            }
        });
        after.servers().values().forEach(server -> {
            BackendServer old = before.servers().get(server.name());
            boolean wasLeaving = old != null && old.state() == AdministrativeState.LEAVING;
            if (server.state() == AdministrativeState.LEAVING && !wasLeaving) {
                timeline.record(TimelineEvent.of(
                        EventKind.SERVER_LEAVING, "server", server.name(), "version", after.version()));
            }
        });
    }
}
