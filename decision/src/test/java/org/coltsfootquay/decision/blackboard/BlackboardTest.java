package org.coltsfootquay.decision.blackboard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against lost updates and missed notifications. */
final class BlackboardTest {

    private static final Topic<Integer> COUNT = new Topic<>("count", 0);

    @Test
    void readReturnsInitialValueBeforeTheFirstWrite() {
        assertEquals(0, new Blackboard().read(COUNT));
    }

    @Test
    void concurrentUpdatesAreAllKept() throws InterruptedException {
        Blackboard blackboard = new Blackboard();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            threads.add(new Thread(() -> {
                for (int j = 0; j < 1000; j++) {
                    blackboard.cell(COUNT).update(count -> count + 1);
                }
            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(4000, blackboard.read(COUNT));
    }

    @Test
    void subscriberReceivesEachWrite() {
        Blackboard blackboard = new Blackboard();
        List<Integer> received = new ArrayList<>();
        blackboard.cell(COUNT).subscribe(received::add);

        blackboard.write(COUNT, 1);
        blackboard.write(COUNT, 2);

        assertEquals(List.of(1, 2), received);
    }
}
