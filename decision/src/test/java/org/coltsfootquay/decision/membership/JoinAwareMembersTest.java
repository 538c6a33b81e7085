package org.coltsfootquay.decision.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowChanges;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.store.StoreWatcherSettings;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.decision.timeline.TimelineSink;
import org.coltsfootquay.decision.timer.DrivenTimerService;
import org.junit.jupiter.api.Test;

/** Guards against servers of a crashed router that no other router claims. */
final class JoinAwareMembersTest {

    private static final RouterId SELF = new RouterId("self");
    private static final RouterId OTHER = new RouterId("other");
    private static final RegionName REGION = new RegionName("region");
    private static final ZoneName ZONE = new ZoneName("zone");
    private static final long INCARNATION = 7;

    private final DrivenTimerService timer = new DrivenTimerService(0);
    private final Blackboard blackboard = new Blackboard();
    private final JoinAwareMembers members = createMembers();

    /** Changes of the view in the first second were ignored, so that a router that crashed then counted as unaware. */
    @Test
    void routerThatJoinedBeforeTheFirstCheckIsAware() {
        members.start();
        joinAt(1);
        publishView(member(SELF, 1), member(OTHER, 2));
        advance(Duration.ofSeconds(2));
        assertTrue(members.contains(OTHER, INCARNATION));
    }

    @Test
    void routerThatJoinedAfterTheFirstCheckIsAware() {
        members.start();
        joinAt(1);
        publishView(member(SELF, 1));
        advance(Duration.ofSeconds(2));
        publishView(member(SELF, 1), member(OTHER, 2));
        assertTrue(members.contains(OTHER, INCARNATION));
    }

    @Test
    void routerThatJoinedEarlierIsNotKnownToBeAware() {
        members.start();
        joinAt(2);
        publishView(member(SELF, 2), member(OTHER, 1));
        advance(Duration.ofSeconds(2));
        assertFalse(members.contains(OTHER, INCARNATION));
    }

    private void joinAt(long revision) {
        long validUntilNanos = Duration.ofMinutes(1).toNanos();
        blackboard.write(
                LeaseState.TOPIC, new LeaseState(LeaseState.Phase.HELD, INCARNATION, revision, validUntilNanos, 0));
    }

    private void publishView(Member... present) {
        Map<RouterId, Member> byId = Stream.of(present).collect(Collectors.toMap(Member::id, Function.identity()));
        blackboard.write(MembershipView.TOPIC, new MembershipView(byId, 2));
    }

    private void advance(Duration time) {
        timer.advance(timer.nowNanos() + time.toNanos());
    }

    private JoinAwareMembers createMembers() {
        TableStore store = new UnansweredTableStore();
        StoreWatcher watcher = new StoreWatcher(
                store, timer, blackboard, TimelineSink.NONE, new Random(1), StoreWatcherSettings.standard());
        MembershipSettings settings =
                MembershipSettings.standard(SELF, ZONE, REGION, "127.0.0.1:1", "127.0.0.1:2", INCARNATION);
        return new JoinAwareMembers(store, watcher, timer, blackboard, settings);
    }

    private static Member member(RouterId id, long joinRevision) {
        return new Member(id, INCARNATION, ZONE, REGION, "127.0.0.1:1", "127.0.0.1:2", false, joinRevision);
    }

    /** Store of which no call is answered. */
    private static final class UnansweredTableStore implements TableStore {

        @Override
        public void writeAtomically(List<RowWrite> writes, Consumer<List<WriteResult>> callback) {
            // Not answered.
        }

        @Override
        public void writeIndependently(List<RowWrite> writes, Consumer<List<WriteResult>> callback) {
            // Not answered.
        }

        @Override
        public void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback) {
            // Not answered.
        }

        @Override
        public void changes(
                List<String> prefixes, long sinceRevision, Consumer<Either<StoreException, RowChanges>> callback) {
            // Not answered.
        }
    }
}
