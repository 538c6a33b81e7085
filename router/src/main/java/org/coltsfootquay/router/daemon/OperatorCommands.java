package org.coltsfootquay.router.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.configuration.ConfigurationPointer;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.configuration.SubmitResult;
import org.coltsfootquay.decision.control.ControlPlane;
import org.coltsfootquay.decision.request.ErrorResponse.Execution;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.router.http.ErrorBody;
import org.coltsfootquay.router.http.OperatorApi;
import org.coltsfootquay.router.http.OperatorReply;
import org.coltsfootquay.router.settings.FleetConfigurationWriter;

/** Executes the commands of operators on the control thread. */
final class OperatorCommands implements OperatorApi {

    private final ControlThread controlThread;
    private final ControlPlane controlPlane;
    private final Blackboard blackboard;

    OperatorCommands(ControlThread controlThread, ControlPlane controlPlane, Blackboard blackboard) {
        this.controlThread = controlThread;
        this.controlPlane = controlPlane;
        this.blackboard = blackboard;
    }

    @Override
    public void readConfiguration(OperatorReply reply) {
        reply.sendJson(200, FleetConfigurationWriter.write(blackboard.read(ConfigurationTopic.IN_FORCE)));
    }

    @Override
    public void replaceConfiguration(OptionalLong expectedVersion, byte[] json, OperatorReply reply) {
        if (expectedVersion.isEmpty()) {
            reply.sendError(ErrorBody.of(
                    428,
                    "version_required",
                    "the If-Match header is missing",
                    "send If-Match: \"<version in force>\", or \"0\" for the first configuration"));
            return;
        }
        controlThread.execute(() -> controlPlane
                .submitter()
                .submit(expectedVersion.getAsLong(), json, result -> sendResult(result, reply)));
    }

    @Override
    public void readHistory(OperatorReply reply) {
        controlThread.execute(() -> {
            Optional<Row> row = controlPlane.watcher().row(ConfigurationPointer.KEY);
            ObjectNode root = JsonNodeFactory.instance.objectNode();
            root.put("inForce", blackboard.read(ConfigurationTopic.IN_FORCE).version());
            ArrayNode versions = root.putArray("versions");
            row.map(found -> ConfigurationPointer.of(found.value()))
                    .ifPresent(pointer -> pointer.history()
                            .forEach(entry -> versions.addObject()
                                    .put("version", entry.version())
                                    .put("object", entry.object())
                                    .put("submission", entry.submissionId())));
            reply.sendJson(200, root.toString());
        });
    }

    @Override
    public void changeZone(String zone, boolean leave, OperatorReply reply) {
        if (zone.isBlank()) {
            reply.sendError(
                    ErrorBody.of(400, "bad_request", "the zone name is missing", "add the zone name to the path"));
            return;
        }
        controlThread.execute(() -> controlPlane
                .submitter()
                .changeZone(new ZoneName(zone), administrativeState(leave), result -> sendResult(result, reply)));
    }

    @Override
    public void changeServer(String server, boolean leave, OperatorReply reply) {
        if (server.isBlank()) {
            reply.sendError(
                    ErrorBody.of(400, "bad_request", "the server name is missing", "add the server name to the path"));
            return;
        }
        controlThread.execute(() -> controlPlane
                .submitter()
                .changeServer(new ServerName(server), administrativeState(leave), result -> sendResult(result, reply)));
    }

    private static AdministrativeState administrativeState(boolean leave) {
        return leave ? AdministrativeState.LEAVING : AdministrativeState.IN_SERVICE;
    }

    private static void sendResult(SubmitResult result, OperatorReply reply) {
        if (result instanceof SubmitResult.Accepted accepted) {
            reply.sendJson(
                    200,
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("version", accepted.version())
                            .toString());
        } else if (result instanceof SubmitResult.Conflict conflict) {
            reply.sendError(ErrorBody.of(
                    409,
                    "configuration_conflict",
                    "the change is based on version " + conflict.expected() + ", but the current version is "
                            + conflict.current(),
                    "read the current version, apply the change to it and submit it again"));
        } else if (result instanceof SubmitResult.Invalid invalid) {
            reply.sendError(ErrorBody.of(
                    422, "invalid_configuration", String.join("; ", invalid.problems()), "correct the listed fields"));
        } else if (result instanceof SubmitResult.Unavailable unavailable) {
            reply.sendError(ErrorBody.of(503, "store_unreachable", unavailable.reason(), "retry the command later"));
        } else if (result instanceof SubmitResult.Unknown unknown) {
            reply.sendError(new ErrorBody(
                    504,
                    "outcome_unknown",
                    "the response of the store was lost; submission " + unknown.submissionId(),
                    "look for the submission in the configuration history before retrying",
                    Execution.UNKNOWN,
                    Duration.ZERO,
                    ""));
        }
    }
}
