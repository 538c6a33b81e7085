package org.coltsfootquay.router.backend;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;

/** Reads the few fields of a model's answer that the router needs, without building a tree. */
public final class StreamEventParser {

    private static final JsonFactory JSON = new JsonFactory();
    private static final String DONE = "[DONE]";

    private StreamEventParser() {}

    /**
     * Scans the data of one event, or a whole answer.
     *
     * @param data data
     * @return the fields, or empty when the data is not valid JSON
     */
    public static Optional<StreamEvent> parse(String data) {
        if (data.equals(DONE)) {
            return Optional.of(new StreamEvent(
                    true,
                    "",
                    OptionalLong.empty(),
                    Optional.empty(),
                    OptionalLong.empty(),
                    OptionalLong.empty(),
                    Optional.empty()));
        }
        try (JsonParser parser = JSON.createParser(data)) {
            return Optional.of(parse(parser));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static StreamEvent parse(JsonParser parser) throws IOException {
        StringBuilder content = new StringBuilder();
        OptionalLong position = OptionalLong.empty();
        OptionalLong prompt = OptionalLong.empty();
        OptionalLong completion = OptionalLong.empty();
        Optional<String> finish = Optional.empty();
        Optional<String> error = Optional.empty();
        String name = "";
        boolean inError = false;
        for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
            if (token == JsonToken.FIELD_NAME) {
                name = parser.currentName();
            } else if (token == JsonToken.START_OBJECT && name.equals("error")) {
                inError = true;
                error = Optional.of("unknown");
            } else if (token == JsonToken.VALUE_STRING) {
                switch (name) {
                    case "content" -> content.append(parser.getText());
                    case "finish_reason" -> finish = Optional.of(parser.getText());
                    case "code" -> error = inError ? Optional.of(parser.getText()) : error;
                    default -> {}
                }
            } else if (token == JsonToken.VALUE_NUMBER_INT) {
                switch (name) {
                    case "position" -> position = OptionalLong.of(parser.getLongValue());
                    case "prompt_tokens" -> prompt = OptionalLong.of(parser.getLongValue());
                    case "completion_tokens" -> completion = OptionalLong.of(parser.getLongValue());
                    default -> {}
                }
            }
        }
        return new StreamEvent(false, content.toString(), position, finish, prompt, completion, error);
    }
}
