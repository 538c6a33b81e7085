package org.coltsfootquay.decision.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.coltsfootquay.decision.common.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against a service whose messages take the memory that another service needs. */
final class ByteBudgetTest {

    private static final int TOTAL = 1000;
    private static final ServiceName GREEDY = new ServiceName("greedy");
    private static final ServiceName OTHER = new ServiceName("other");

    private final ByteBudget budget = new ByteBudget(TOTAL);

    @Test
    void oneServiceGetsHalfOfTheBudget() {
        HeldBytes message = budget.open(GREEDY, () -> {});
        assertTrue(message.resize(TOTAL / 2));
        assertFalse(message.resize(TOTAL / 2 + 1));
        assertEquals(TOTAL / 2, budget.usedBytes());
    }

    @Test
    void anotherServiceStillFindsRoom() {
        assertTrue(budget.open(GREEDY, () -> {}).resize(TOTAL / 2));
        HeldBytes message = budget.open(OTHER, () -> {});
        assertTrue(message.resize(TOTAL / 4));
        assertFalse(message.resize(TOTAL / 4 + 1));
    }

    @Test
    void largestMessageOfTheServiceMakesRoom() {
        List<String> evicted = new ArrayList<>();
        HeldBytes large = budget.open(GREEDY, () -> evicted.add("large"));
        HeldBytes small = budget.open(GREEDY, () -> evicted.add("small"));
        assertTrue(large.resize(400));
        assertTrue(small.resize(100));
        assertTrue(small.resize(200));
        assertEquals(List.of("large"), evicted);
        assertEquals(200, budget.usedBytes());
        assertFalse(large.resize(1));
    }

    @Test
    void largestMessageItselfIsRefused() {
        HeldBytes large = budget.open(GREEDY, () -> {});
        assertTrue(large.resize(400));
        assertTrue(budget.open(GREEDY, () -> {}).resize(100));
        assertFalse(large.resize(401));
        assertEquals(500, budget.usedBytes());
    }

    @Test
    void messageOfAnotherServiceIsNotEvicted() {
        HeldBytes other = budget.open(OTHER, () -> {});
        assertTrue(other.resize(300));
        assertFalse(budget.open(GREEDY, () -> {}).resize(400));
        assertTrue(other.resize(301));
    }

    @Test
    void releasedBytesAreFreeAgain() {
        HeldBytes message = budget.open(GREEDY, () -> {});
        assertTrue(message.resize(500));
        message.release();
        message.release();
        assertEquals(0, budget.usedBytes());
        assertTrue(budget.open(GREEDY, () -> {}).resize(500));
    }

    @Test
    void messageThatIsNeverEvictedLeavesHalfOfTheRoom() {
        assertFalse(budget.open(GREEDY).resize(TOTAL / 4 + 1));
        assertTrue(budget.open(GREEDY).resize(TOTAL / 4));
        assertFalse(budget.open(GREEDY).resize(TOTAL / 8 + 1));
        assertTrue(budget.open(GREEDY).resize(TOTAL / 8));
    }

    @Property(tries = 200)
    void budgetIsKeptAndNewServiceFindsRoom(@ForAll Random random, @ForAll @IntRange(min = 1, max = 6) int services) {
        ByteBudget shared = new ByteBudget(1 << 20);
        List<HeldBytes> messages = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            ServiceName service = new ServiceName("s" + random.nextInt(services));
            HeldBytes message = random.nextBoolean() ? shared.open(service, () -> {}) : shared.open(service);
            messages.add(message);
            message.resize(random.nextInt(100_000));
            HeldBytes any = messages.get(random.nextInt(messages.size()));
            if (random.nextInt(4) == 0) {
                any.release();
            } else {
                any.resize(random.nextInt(200_000));
            }
            assertTrue(shared.usedBytes() <= 1 << 20, shared.usedBytes() + " bytes");
            assertEquals(messages.stream().mapToLong(HeldBytes::bytes).sum(), shared.usedBytes());
        }
        assertTrue(shared.open(new ServiceName("new"), () -> {}).resize((1 << 20) >> (services + 1)));
    }
}
