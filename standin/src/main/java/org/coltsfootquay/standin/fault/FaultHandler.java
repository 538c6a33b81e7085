package org.coltsfootquay.standin.fault;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.settings.SettingsException;
import org.coltsfootquay.settings.SettingsProblem;
import org.coltsfootquay.settings.SettingsReader;
import org.coltsfootquay.standin.http.Exchange;
import org.coltsfootquay.standin.http.JsonUtils;
import org.coltsfootquay.standin.http.RequestHandler;
import org.coltsfootquay.standin.settings.SettingsJson;

/**
 * Serves {@code /v1/faults} and {@code /v1/stats}, applies outages, delays and second answers, and passes other
 * requests on.
 *
 * <p>A delayed request takes effect after the delay, so a caller that gave up may still see its effect later.
 */
public final class FaultHandler implements RequestHandler {

    private final EventLoop loop;
    private final FaultSwitches switches;
    private final Counters counters;
    private final Map<String, Runnable> actions;
    private final RequestHandler next;

    /**
     * Creates a handler.
     *
     * @param loop event loop that delays run on
     * @param switches switches to apply
     * @param counters counters to show
     * @param actions actions by the name of the JSON field that starts them when it is true
     * @param next handles the other requests
     */
    public FaultHandler(
            EventLoop loop,
            FaultSwitches switches,
            Counters counters,
            Map<String, Runnable> actions,
            RequestHandler next) {
        this.loop = loop;
        this.switches = switches;
        this.counters = counters;
        this.actions = Map.copyOf(actions);
        this.next = next;
    }

    @Override
    public void handle(Exchange exchange) {
        if (exchange.path().equals("/v1/faults")) {
            answerFaults(exchange);
            return;
        }
        if (exchange.path().equals("/v1/stats")) {
            exchange.answer(200, counters.toJson());
            return;
        }
        Faults faults = switches.current();
        switch (faults.outage()) {
            case UNAVAILABLE -> {
                counters.increment("unavailable");
                exchange.answerError(503, "unavailable", "nothing was done; repeat the call later");
            }
            case SILENT -> counters.increment("silent");
            case BROKEN -> {
                counters.increment("broken");
                exchange.abort();
            }
            default -> {
                exchange.followAnswer(this::secondAnswer);
                if (faults.slowMillis() > 0) {
                    counters.increment("slowed");
                    var unused = loop.schedule(() -> next.handle(exchange), faults.slowMillis(), TimeUnit.MILLISECONDS);
                } else {
                    next.handle(exchange);
                }
            }
        }
    }

    private Optional<byte[]> secondAnswer(int status) {
        Optional<byte[]> second = switches.secondAnswer(status);
        second.ifPresent(bytes -> counters.increment("secondAnswers"));
        return second;
    }

    private void answerFaults(Exchange exchange) {
        if (exchange.method().equals("GET")) {
            exchange.answer(200, SettingsJson.write(switches.current()));
            return;
        }
        if (!exchange.method().equals("POST")) {
            exchange.answerError(405, "method_not_allowed", "use GET or POST");
            return;
        }
        try {
            List<Runnable> chosen = new ArrayList<>();
            Faults positions =
                    SettingsReader.read("faults", new String(exchange.body(), StandardCharsets.UTF_8), object -> {
                        actions.forEach((name, action) -> {
                            if (object.flag(name, false)) {
                                chosen.add(action);
                            }
                        });
                        return SettingsJson.read(object, switches.current());
                    });
            switches.turn(old -> positions);
            // A restart breaks this connection too, so the answer goes first.
            exchange.answer(200, SettingsJson.write(positions));
            chosen.forEach(Runnable::run);
        } catch (SettingsException e) {
            answerProblems(exchange, e);
        }
    }

    private static void answerProblems(Exchange exchange, SettingsException report) {
        ObjectNode node = JsonUtils.object().put("code", "bad_settings");
        for (SettingsProblem problem : report.problems()) {
            node.withArray("problems")
                    .addObject()
                    .put("path", problem.path())
                    .put("found", problem.found())
                    .put("remedy", problem.remedy());
        }
        exchange.answer(400, node);
    }
}
