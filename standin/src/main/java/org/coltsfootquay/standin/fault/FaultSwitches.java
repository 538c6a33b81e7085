package org.coltsfootquay.standin.fault;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.coltsfootquay.settings.SettingsException;
import org.coltsfootquay.settings.SettingsReader;
import org.coltsfootquay.standin.settings.SettingsJson;

/** Fault switches of one stand-in; may be turned from any thread while the stand-in works. */
public final class FaultSwitches {

    private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.none());
    private final AtomicLong effects = new AtomicLong();
    private final Random random;

    /** Creates switches that are all off, with a fixed seed. */
    public FaultSwitches() {
        this(new Random(0));
    }

    /**
     * Creates switches that are all off.
     *
     * @param random generator of the faults that are drawn
     */
    public FaultSwitches(Random random) {
        this.random = random;
    }

    /**
     * Returns the positions of the switches.
     *
     * @return faults in force
     */
    public Faults current() {
        return faults.get();
    }

    /**
     * Turns switches.
     *
     * @param change returns the new positions from the old ones
     */
    public void turn(UnaryOperator<Faults> change) {
        faults.updateAndGet(change);
    }

    /** Turns all switches off. */
    public void clear() {
        faults.set(Faults.none());
    }

    /**
     * Turns the switches that a text names; the others keep their position.
     *
     * @param json JSON object with fields named as in {@link Faults}
     * @throws SettingsException with all mistakes; then no switch is turned
     */
    public void turn(String json) throws SettingsException {
        faults.set(SettingsReader.read("faults", json, object -> SettingsJson.read(object, current())));
    }

    /**
     * Decides whether the answer to a call is lost; to be called once for each call that took effect.
     *
     * @return whether the connection must be broken instead of an answer
     */
    public boolean losesAnswer() {
        long number = effects.incrementAndGet();
        Faults before = faults.getAndUpdate(
                old -> old.loseNextAnswers() > 0 ? old.withLoseNextAnswers(old.loseNextAnswers() - 1) : old);
        return before.loseNextAnswers() > 0 || (before.loseOneAnswerIn() > 0 && number % before.loseOneAnswerIn() == 0);
    }

    /**
     * Decides whether a second answer follows an answer; to be called once for each answer.
     *
     * @param status status of the answer
     * @return bytes to send after the answer, or empty
     */
    public Optional<byte[]> secondAnswer(int status) {
        return random.nextDouble() < current().stutter()
                ? Optional.of(SecondAnswer.draw(random, status))
                : Optional.empty();
    }
}
