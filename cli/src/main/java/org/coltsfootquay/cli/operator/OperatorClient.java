package org.coltsfootquay.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.CommandUtils;
import org.coltsfootquay.cli.UsageException;

/** Client of the operator interface of one router. */
public final class OperatorClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String KEY_VARIABLE = "COLTSFOOTQUAY_OPERATOR_KEY";
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(TIMEOUT)
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    private final String router;
    private final Optional<String> key;

    private OperatorClient(String router, Optional<String> key) {
        this.router = router;
        this.key = key;
    }

    /**
     * Returns the options that name the router and the operator key.
     *
     * @return options
     */
    public static Options options() {
        return new Options()
                .addOption(null, "router", true, "IP address and port of any router, host:port")
                .addOption(
                        null, "key-file", true, "file with the operator key; without it the variable " + KEY_VARIABLE);
    }

    /**
     * Creates a client from the options.
     *
     * @param line parsed command line
     * @return the client
     * @throws UsageException if the router is missing or the key file cannot be read
     */
    public static OperatorClient of(CommandLine line) throws UsageException {
        return new OperatorClient(CommandUtils.option(line, "router"), key(line));
    }

    /**
     * Returns a client of another router with the same key.
     *
     * @param otherRouter IP address and port
     * @return the client
     */
    public OperatorClient forRouter(String otherRouter) {
        return new OperatorClient(otherRouter, key);
    }

    /**
     * Sends a request without a body.
     *
     * @param method HTTP method
     * @param path path with query
     * @return body of a successful answer
     * @throws CommandException if the router cannot be reached or refuses
     * @throws InterruptedException if the thread is interrupted
     */
    public String send(String method, String path) throws CommandException, InterruptedException {
        return send(request(path).method(method, HttpRequest.BodyPublishers.noBody()));
    }

    /**
     * Replaces the configuration if its version is still the expected one.
     *
     * @param expectedVersion version that the change was made from
     * @param body configuration as JSON with comments
     * @return body of a successful answer
     * @throws CommandException if the router cannot be reached or refuses
     * @throws InterruptedException if the thread is interrupted
     */
    public String putConfiguration(long expectedVersion, String body) throws CommandException, InterruptedException {
        return send(request("/v1/operator/configuration")
                .header("If-Match", "\"" + expectedVersion + "\"")
                .header("Content-Type", "application/json")
                .PUT(HttpRequest.BodyPublishers.ofString(body)));
    }

    /**
     * Parses an answer.
     *
     * @param body body of an answer
     * @return JSON
     * @throws CommandException if it is not JSON
     */
    public static JsonNode json(String body) throws CommandException {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new CommandException("the answer is not JSON; check that --router names a router", e);
        }
    }

    private HttpRequest.Builder request(String path) throws CommandException {
        HttpRequest.Builder builder;
        try {
            builder = HttpRequest.newBuilder(URI.create("http://" + router + path))
                    .timeout(TIMEOUT);
        } catch (IllegalArgumentException e) {
            throw new CommandException("'" + router + "' is not an address; use host:port", e);
        }
        key.ifPresent(value -> builder.header("Authorization", "Bearer " + value));
        return builder;
    }

    private String send(HttpRequest.Builder builder) throws CommandException, InterruptedException {
        try {
            HttpResponse<String> response = http.send(builder.build(), HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() / 100 != 2) {
                throw new CommandException(refusal(response));
            }
            return response.body();
        } catch (IOException e) {
            throw new CommandException(
                    "router " + router + " cannot be reached (" + e + "); try another address of the fleet", e);
        }
    }

    private static String refusal(HttpResponse<String> response) {
        try {
            JsonNode error = MAPPER.readTree(response.body()).path("error");
            if (error.hasNonNull("code")) {
                return error.path("code").asText() + ": "
                        + error.path("message").asText() + "; "
                        + error.path("remedy").asText();
            }
        } catch (IOException e) {
            return "status " + response.statusCode()
                    + " with a body that is not JSON; check that --router names a router";
        }
        return "status " + response.statusCode() + ": " + response.body();
    }

    private static Optional<String> key(CommandLine line) throws UsageException {
        String file = line.getOptionValue("key-file");
        if (file == null) {
            return Optional.ofNullable(System.getenv(KEY_VARIABLE));
        }
        try {
            return Optional.of(Files.readString(Path.of(file)).strip());
        } catch (IOException e) {
            throw new UsageException("key file " + file + " cannot be read (" + e + "); pass a readable file");
        }
    }
}
