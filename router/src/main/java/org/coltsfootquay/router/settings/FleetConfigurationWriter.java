package org.coltsfootquay.router.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Workspace;
import org.coltsfootquay.settings.DurationUtils;

/** Writes the fleet configuration as JSON; equal configurations produce equal text. */
public final class FleetConfigurationWriter {

    private static final ObjectWriter WRITER = JsonMapper.builder().build().writerWithDefaultPrettyPrinter();

    private FleetConfigurationWriter() {}

    /**
     * Writes a configuration as JSON.
     *
     * @param configuration configuration to write
     * @return JSON that {@link FleetConfigurationReader} accepts
     */
    public static String write(FleetConfiguration configuration) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("version", configuration.version());
        ArrayNode zones = root.putArray("zones");
        configuration
                .zones()
                .values()
                .forEach(zone -> zones.addObject()
                        .put("name", zone.name().value())
                        .put("region", zone.region().value())
                        .put("state", label(zone.state())));
        ArrayNode services = root.putArray("services");
        configuration
                .services()
                .values()
                .forEach(service ->
                        services.addObject().put("name", service.name().value()).put("kind", label(service.kind())));
        ArrayNode servers = root.putArray("servers");
        configuration.servers().values().forEach(server -> write(server, servers.addObject()));
        ArrayNode classes = root.putArray("classes");
        configuration.classes().values().forEach(entry -> write(entry, classes.addObject()));
        ArrayNode workspaces = root.putArray("workspaces");
        configuration.workspaces().values().forEach(workspace -> write(workspace, workspaces.addObject()));
        try {
            return WRITER.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the configuration as JSON", e);
        }
    }

    private static void write(BackendServer server, ObjectNode node) {
        node.put("name", server.name().value())
                .put("service", server.service().value())
                .put("zone", server.zone().value())
                .put("address", server.address())
                .put("checksFencing", server.checksFencing())
                .put("state", label(server.state()));
    }

    private static void write(ClassOfWork entry, ObjectNode node) {
        node.put("name", entry.name().value()).put("service", entry.service().value());
        ObjectNode target = node.putObject("target");
        entry.target().firstTokenWithin().ifPresent(time -> target.put("firstTokenWithin", DurationUtils.format(time)));
        entry.target().betweenTokens().ifPresent(time -> target.put("betweenTokens", DurationUtils.format(time)));
        entry.target().finishedWithin().ifPresent(time -> target.put("finishedWithin", DurationUtils.format(time)));
        node.put("patience", DurationUtils.format(entry.patience())).put("idempotent", entry.idempotent());
        ArrayNode routes = node.putArray("routes");
        entry.routes()
                .forEach(route ->
                        routes.addObject().put("method", route.method()).put("pathPrefix", route.pathPrefix()));
        node.put("default", entry.defaultForService());
    }

    private static void write(Workspace workspace, ObjectNode node) {
        node.put("id", workspace.id().value());
        ArrayNode keys = node.putArray("keys");
        workspace.keyDigests().forEach(digest -> keys.add(KeyDigestUtils.format(digest)));
        ObjectNode reserved = node.putObject("reservedUnitsPerSecond");
        workspace.reservedUnitsPerSecond().entrySet().stream()
                .sorted((a, b) -> a.getKey().compareTo(b.getKey()))
                .forEach(entry -> reserved.put(entry.getKey().value(), entry.getValue()));
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
