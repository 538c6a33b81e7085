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
 * <p>Versions come from the pointer row or from peers and only advance. Single-threaded: calls and callbacks run on the
 * thread that drives the timer service.
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

    private long wantedVersion;
    private String wantedObject = "";
    private String rejectedObject = "";
    private boolean fetching;
    private int failures;
    private TimerService.ScheduledTask retry;
    private String objectInForce = "";
    private byte[] contentInForce = new byte[0];
    private boolean stopped;
    private Runnable stopCallback;

    /**
     * Creates a controller that does nothing until {@link #start()}.
     *
     * @param objects object store
     * @param codec reader of stored configurations
     * @param requester asks peers for objects that the object store does not deliver
     * @param watcher copy of the watched rows
     * @param timer timer service
     * @param blackboard blackboard that receives {@link ConfigurationTopic#IN_FORCE}
     * @param timeline receiver of events
     * @param random source of jitter
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

    /** Begins to follow the pointer row. */
    public void start() {
        watcher.subscribe(this::rowsChanged);
    }

    /**
     * Stops; no further version comes into force.
     *
     * @param callback called once when no read is in flight
     */
    public void stop(Runnable callback) {
        stopped = true;
        if (retry != null) {
            retry.cancel();
        }
        if (fetching) {
            stopCallback = callback;
        } else {
            callback.run();
        }
    }

    /**
     * Takes a peer's statement of the version it has in force.
     *
     * @param version version
     * @param object name of the object
     */
    public void versionAnnounced(long version, String object) {
        want(version, object);
        if (version == inForce().version()) {
            confirm(timer.nowNanos());
        }
    }

    /**
     * Takes an object that a peer sent.
     *
     * @param content content of the object; ignored unless it is the object that is wanted
     */
    public void snapshotReceived(byte[] content) {
        if (!stopped && wantedVersion > inForce().version() && matches(wantedObject, content)) {
            accept(wantedVersion, wantedObject, content);
        }
    }

    /**
     * Returns the name of the object in force.
     *
     * @return name; empty before the first version
     */
    public String objectInForce() {
        return objectInForce;
    }

    /**
     * Returns the content of an object for a peer that asks for it.
     *
     * @param object name of the object
     * @return content, or empty when another object is in force
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
        pointer.flatMap(ConfigurationPointer::current).ifPresent(entry -> want(entry.version(), entry.object()));
        long newest = pointer.map(ConfigurationPointer::version).orElse(0L);
        if (newest <= inForce().version()) {
            watcher.completeAsOfNanos().ifPresent(this::confirm);
        }
    }

    private void confirm(long nanos) {
        if (nanos > blackboard.read(ConfigurationFreshness.TOPIC).confirmedNanos()) {
            blackboard.write(ConfigurationFreshness.TOPIC, new ConfigurationFreshness(nanos));
        }
    }

    private void want(long version, String object) {
        if (stopped || version <= inForce().version() || version < wantedVersion) {
            return;
        }
        if (version > wantedVersion) {
            wantedVersion = version;
            wantedObject = object;
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
        if (stopped || fetching || wantedVersion <= inForce().version() || wantedObject.equals(rejectedObject)) {
            return;
        }
        fetching = true;
        long version = wantedVersion;
        String object = wantedObject;
        objects.get(object, result -> fetched(version, object, result));
    }

    private void fetched(long version, String object, Either<?, byte[]> result) {
        fetching = false;
        if (stopped) {
            if (stopCallback != null) {
                stopCallback.run();
                stopCallback = null;
            }
            return;
        }
        if (result.isRight() && matches(object, result.get())) {
            accept(version, object, result.get());
        } else {
            failures++;
            requester.request(version, object);
        }
        if (wantedVersion > inForce().version()) {
            retryLater();
        }
    }

    private void retryLater() {
        long ceiling = Math.min(
                settings.maxRetryDelay().toNanos(), settings.retryDelay().toNanos() << Math.min(failures, 10));
        retry = timer.scheduleOnce(
                "configuration object",
                Duration.ofNanos(ceiling / 2 + Math.round(ceiling / 2.0 * random.nextDouble())),
                this::fetch);
    }

    private static boolean matches(String object, byte[] content) {
        return ConfigurationDigest.objectName(content).equals(object);
    }

    private void accept(long version, String object, byte[] content) {
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
        recordStates(before, decoded.get());
        if (version == wantedVersion) {
            confirm(watcher.completeAsOfNanos().orElse(Long.MIN_VALUE / 2));
        }
    }

    private void recordStates(FleetConfiguration before, FleetConfiguration after) {
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
