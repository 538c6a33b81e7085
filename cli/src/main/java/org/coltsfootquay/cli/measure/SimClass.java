package org.coltsfootquay.cli.measure;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.LatencyTarget;

/** Classes of work of a measurement. */
enum SimClass {
    /** Long document: tens of seconds of output. */
    SUMMARY(1_000, 4_000, 200, 800, Duration.ofSeconds(10), Duration.ofMinutes(10)),
    /** Short question with a tight target. */
    QUESTION(100, 400, 20, 80, Duration.ofSeconds(2), Duration.ofMinutes(2));

    final int smallestInput;
    final int largestInput;
    final int smallestOutput;
    final int largestOutput;
    final Duration firstToken;
    final Duration patience;

    SimClass(
            int smallestInput,
            int largestInput,
            int smallestOutput,
            int largestOutput,
            Duration firstToken,
            Duration patience) {
        this.smallestInput = smallestInput;
        this.largestInput = largestInput;
        this.smallestOutput = smallestOutput;
        this.largestOutput = largestOutput;
        this.firstToken = firstToken;
        this.patience = patience;
    }

    ClassOfWorkName className() {
        return new ClassOfWorkName(name().toLowerCase(java.util.Locale.ROOT));
    }

    ClassOfWork definition(ServiceName service) {
        return new ClassOfWork(
                className(),
                service,
                new LatencyTarget(
                        Optional.of(firstToken),
                        Optional.of(Duration.ofMillis(FakeEngine.TARGET_INTERVAL_MILLIS)),
                        Optional.empty()),
                patience,
                true,
                List.of(),
                this == SUMMARY);
    }

    /** Mean output, as an entry router would have learned it. */
    int expectedOutput() {
        return (smallestOutput + largestOutput) / 2;
    }

    int largestUnits() {
        return largestInput + SimRequest.OUTPUT_UNITS * largestOutput;
    }
}
