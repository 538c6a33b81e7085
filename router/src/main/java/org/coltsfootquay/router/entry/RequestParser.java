package org.coltsfootquay.router.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Service;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.configuration.Workspace;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.CallerRequest.IdempotencyKey;
import org.coltsfootquay.decision.request.ErrorCode;
import org.coltsfootquay.router.http.BearerKeys;
import org.coltsfootquay.router.http.ErrorBody;
import org.coltsfootquay.router.http.HttpExchange;

/** Parses a caller's HTTP request into the request of a flow and the request to forward to servers. */
final class RequestParser {

    private static final String MODEL_PATH = "/v1/chat/completions";
    private static final int MAX_KEY_LENGTH = 200;
    private static final int DEFAULT_MAX_TOKENS = 512;

    /** Service units charged for one output token. */
    private static final int UNITS_PER_OUTPUT_TOKEN = 2;

    /** Estimated server time of an application request without history, in milliseconds. */
    private static final long INITIAL_APPLICATION_UNITS = 100;

    private static final int BYTES_PER_TOKEN = 4;
    private static final int PREFIX_BLOCK_BYTES = 1024;

    /** 64 hashes take 512 bytes of an {@code Enqueue}. Prompts above 64 KiB keep the shortest and longest prefixes. */
    private static final int MAX_PREFIX_HASHES = 64;

    private static final Set<String> UNFORWARDED_HEADERS = Set.of(
            "authorization",
            "host",
            "connection",
            "keep-alive",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "x-class-of-work",
            "x-request-id",
            "x-fencing-number");

    private static final ObjectMapper JSON = new ObjectMapper();

    private final OutputEstimator outputEstimator;

    RequestParser(OutputEstimator outputEstimator) {
        this.outputEstimator = outputEstimator;
    }

    /** Request of a flow and the request to forward to servers. */
    record ParsedRequest(CallerRequest request, ForwardedRequest forwarded) {}

    Either<ErrorBody, ParsedRequest> parse(
            HttpExchange exchange, Workspace workspace, FleetConfiguration configuration, RequestId id) {
        if (exchange.path().equals(MODEL_PATH)) {
            return exchange.method().equals("POST")
                    ? parseModelRequest(exchange, workspace, configuration, id)
                    : Either.left(ErrorBody.of(405, "bad_request", "model calls use POST", "send a POST request"));
        }
        return parseApplicationRequest(exchange, workspace, configuration, id);
    }

    private Either<ErrorBody, ParsedRequest> parseModelRequest(
            HttpExchange exchange, Workspace workspace, FleetConfiguration configuration, RequestId id) {
        ObjectNode body;
        try {
            if (!(JSON.readTree(exchange.body()) instanceof ObjectNode object)) {
                return badRequest("the request body is not a JSON object");
            }
            body = object;
        } catch (IOException e) {
            return badRequest("the request body is not valid JSON");
        }
        String model = body.path("model").asText();
        Service service = model.isBlank() ? null : configuration.services().get(new ServiceName(model));
        if (service == null || service.kind() != ServiceKind.MODEL) {
            return unknownClass("the field model does not name a configured model service");
        }
        if (!body.path("messages").isArray() || body.path("messages").isEmpty()) {
            return badRequest("the field messages must be a list with at least one message");
        }
        JsonNode maxTokens = body.path("max_tokens");
        if (!maxTokens.isMissingNode() && (!maxTokens.isIntegralNumber() || maxTokens.asLong() < 1)) {
            return badRequest("the field max_tokens must be an integer of at least 1");
        }
        Either<ErrorBody, ClassOfWork> classOfWork = modelClass(exchange, configuration, service.name());
        if (classOfWork.isLeft()) {
            return Either.left(classOfWork.getLeft());
        }
        ClassOfWork work = classOfWork.get();
        byte[] prompt = promptBytes(body);
        long hint = UNITS_PER_OUTPUT_TOKEN * maxTokens.asLong(DEFAULT_MAX_TOKENS);
        boolean streamed = body.path("stream").asBoolean();
        body.put("stream", true).remove("continue_from");
        byte[] forwardedBody = body.toString().getBytes(StandardCharsets.UTF_8);
        Either<ErrorBody, Optional<IdempotencyKey>> key = idempotencyKey(exchange, work);
        if (key.isLeft()) {
            return Either.left(key.getLeft());
        }
        CallerRequest request = new CallerRequest(
                id,
                workspace.id(),
                work,
                ServiceKind.MODEL,
                Math.max(1, prompt.length / BYTES_PER_TOKEN),
                outputEstimator.estimate(workspace.id(), work.name(), hint),
                prefixHashes(prompt),
                streamed,
                key.get());
        Map<String, String> headers =
                Map.of("content-type", "application/json", "accept", "text/event-stream, application/json");
        return Either.right(new ParsedRequest(
                request, new ForwardedRequest(ServiceKind.MODEL, "POST", MODEL_PATH, headers, forwardedBody)));
    }

    private static Either<ErrorBody, ClassOfWork> modelClass(
            HttpExchange exchange, FleetConfiguration configuration, ServiceName service) {
        Optional<String> name = exchange.header("x-class-of-work").filter(text -> !text.isBlank());
        Optional<ClassOfWork> found = name.isPresent()
                ? Optional.ofNullable(configuration.classes().get(new ClassOfWorkName(name.get())))
                        .filter(work -> work.service().equals(service))
                : configuration.defaultClass(service);
        return found.<Either<ErrorBody, ClassOfWork>>map(Either::right)
                .orElseGet(() -> unknownClass("no class of work of service " + service + " matches the request"));
    }

    private Either<ErrorBody, ParsedRequest> parseApplicationRequest(
            HttpExchange exchange, Workspace workspace, FleetConfiguration configuration, RequestId id) {
        Optional<ClassOfWork> found = applicationClass(exchange, configuration);
        if (found.isEmpty()) {
            return unknownClass("no class of work has a route for this method and path");
        }
        ClassOfWork work = found.get();
        Either<ErrorBody, Optional<IdempotencyKey>> key = idempotencyKey(exchange, work);
        if (key.isLeft()) {
            return Either.left(key.getLeft());
        }
        CallerRequest request = new CallerRequest(
                id,
                workspace.id(),
                work,
                ServiceKind.APPLICATION,
                0,
                outputEstimator.estimate(workspace.id(), work.name(), INITIAL_APPLICATION_UNITS),
                List.of(),
                true,
                key.get());
        Map<String, String> headers = new LinkedHashMap<>(exchange.headers());
        headers.keySet().removeAll(UNFORWARDED_HEADERS);
        return Either.right(new ParsedRequest(
                request,
                new ForwardedRequest(
                        ServiceKind.APPLICATION, exchange.method(), exchange.target(), headers, exchange.body())));
    }

    /** Finds the class with the longest matching route; the header x-class-of-work can limit the choice to one. */
    private static Optional<ClassOfWork> applicationClass(HttpExchange exchange, FleetConfiguration configuration) {
        Optional<String> name = exchange.header("x-class-of-work");
        ClassOfWork best = null;
        int bestLength = -1;
        for (ClassOfWork work : configuration.classes().values()) {
            if (name.isPresent() && !work.name().value().equals(name.get())) {
                continue;
            }
            for (ClassOfWork.Route route : work.routes()) {
                boolean matches =
                        route.method().equals(exchange.method()) && isUnderPrefix(exchange.path(), route.pathPrefix());
                if (matches && route.pathPrefix().length() > bestLength) {
                    best = work;
                    bestLength = route.pathPrefix().length();
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isUnderPrefix(String path, String prefix) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
    }

    private static Either<ErrorBody, Optional<IdempotencyKey>> idempotencyKey(HttpExchange exchange, ClassOfWork work) {
        if (work.idempotent()) {
            return Either.right(Optional.empty());
        }
        Optional<String> key = exchange.header("idempotency-key").filter(text -> !text.isBlank());
        if (key.isEmpty()) {
            return Either.left(error(ErrorCode.KEY_REQUIRED, "requests of class " + work.name() + " run at most once"));
        }
        if (key.get().length() > MAX_KEY_LENGTH) {
            return badRequest("Idempotency-Key is longer than " + MAX_KEY_LENGTH + " characters");
        }
        byte[] requestLine = (exchange.method() + " " + exchange.target() + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] digestInput = new byte[requestLine.length + exchange.body().length];
        System.arraycopy(requestLine, 0, digestInput, 0, requestLine.length);
        System.arraycopy(exchange.body(), 0, digestInput, requestLine.length, exchange.body().length);
        return Either.right(
                Optional.of(new IdempotencyKey(key.get(), HexFormat.of().formatHex(BearerKeys.sha256(digestInput)))));
    }

    private static byte[] promptBytes(ObjectNode body) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            text.append(message.path("role").asText())
                    .append('\n')
                    .append(message.path("content").asText())
                    .append('\n');
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the FNV-1a hash of each prefix of k × 1,024 bytes, the hashes that engines use in cache events. */
    private static List<Long> prefixHashes(byte[] prompt) {
        int blocks = prompt.length / PREFIX_BLOCK_BYTES;
        List<Long> hashes = new ArrayList<>(Math.min(blocks, MAX_PREFIX_HASHES));
        long hash = 0xcbf29ce484222325L;
        for (int block = 0; block < blocks; block++) {
            for (int i = block * PREFIX_BLOCK_BYTES; i < (block + 1) * PREFIX_BLOCK_BYTES; i++) {
                hash = (hash ^ (prompt[i] & 0xff)) * 0x100000001b3L;
            }
            if (block < MAX_PREFIX_HASHES / 2 || block >= blocks - MAX_PREFIX_HASHES / 2) {
                hashes.add(hash);
            }
        }
        return hashes;
    }

    private static <T> Either<ErrorBody, T> badRequest(String message) {
        return Either.left(error(ErrorCode.BAD_REQUEST, message));
    }

    private static <T> Either<ErrorBody, T> unknownClass(String message) {
        return Either.left(error(ErrorCode.UNKNOWN_CLASS, message));
    }

    private static ErrorBody error(ErrorCode code, String message) {
        return ErrorBody.of(code.status(), code.label(), message, code.remedy());
    }
}
