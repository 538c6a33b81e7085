package org.coltsfootquay.cli.quickstart;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.cli.load.CallProfile;
import org.coltsfootquay.cli.load.WorkspaceLoad;

/** Loads of the 16 workspaces: three always backlogged, one with reserved capacity that comes late, twelve small. */
final class QuickstartLoads {

    static final int MAX_PROMPT_CHARS = 2_400;
    static final int MAX_TOKENS = 80;

    private static final int LARGE_OUTSTANDING = 40;
    private static final int RESERVED_OUTSTANDING = 6;
    private static final double SMALL_CALLS_PER_SECOND = 1.5;

    private static final CallProfile LABEL = new CallProfile(
            FleetLayout.LABEL_CLASS, CallProfile.Type.STREAM, FleetLayout.MODEL.value(), 80, 240, 8, 24);
    private static final CallProfile SUMMARY = new CallProfile(
            FleetLayout.SUMMARY_CLASS,
            CallProfile.Type.STREAM,
            FleetLayout.MODEL.value(),
            1_200,
            MAX_PROMPT_CHARS,
            40,
            MAX_TOKENS);
    private static final CallProfile LOOKUP =
            new CallProfile(FleetLayout.LOOKUP_CLASS, CallProfile.Type.READ, "/drawings/17", 1, 1, 1, 1);
    private static final CallProfile CHECKOUT =
            new CallProfile(FleetLayout.CHECKOUT_CLASS, CallProfile.Type.BOOKING, "/checkouts", 1, 1, 1, 1);

    private QuickstartLoads() {}

    /**
     * Returns the loads.
     *
     * @param routers caller addresses; each large workspace comes in through one or two of them, so tenants are uneven
     * @param reservedFromMillis time at which the reserved workspace returns
     * @param endMillis end of all loads
     */
    static List<WorkspaceLoad> all(List<String> routers, long reservedFromMillis, long endMillis) {
        List<WorkspaceLoad> loads = new ArrayList<>();
        for (int i = 0; i < FleetLayout.LARGE.size(); i++) {
            loads.add(load(
                    FleetLayout.LARGE.get(i),
                    List.of(SUMMARY, LABEL),
                    LARGE_OUTSTANDING,
                    0,
                    0,
                    endMillis,
                    Optional.of(routers.get(i % routers.size()))));
        }
        loads.add(load(
                FleetLayout.RESERVED,
                List.of(LABEL),
                RESERVED_OUTSTANDING,
                0,
                reservedFromMillis,
                endMillis,
                Optional.empty()));
        FleetLayout.workspaces().stream()
                .filter(name -> !FleetLayout.LARGE.contains(name) && !name.equals(FleetLayout.RESERVED))
                .forEach(name -> loads.add(load(
                        name,
                        List.of(LABEL, LABEL, LOOKUP, CHECKOUT),
                        0,
                        SMALL_CALLS_PER_SECOND,
                        0,
                        endMillis,
                        Optional.empty())));
        return loads;
    }

    private static WorkspaceLoad load(
            String workspace,
            List<CallProfile> profiles,
            int outstanding,
            double callsPerSecond,
            long startMillis,
            long endMillis,
            Optional<String> preferred) {
        return new WorkspaceLoad(
                workspace,
                FleetLayout.keyOf(workspace),
                profiles,
                outstanding,
                callsPerSecond,
                startMillis,
                endMillis,
                preferred);
    }
}
