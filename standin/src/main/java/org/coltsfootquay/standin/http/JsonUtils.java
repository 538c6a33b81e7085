package org.coltsfootquay.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Conversions between JSON trees and bytes. */
public final class JsonUtils {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonUtils() {}

    /**
     * Creates an empty JSON object.
     *
     * @return a new object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses JSON.
     *
     * @param bytes text in UTF-8
     * @return the tree; a missing node for empty input
     * @throws IOException if the bytes are not JSON
     */
    public static JsonNode parse(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }

    /**
     * Writes JSON.
     *
     * @param node tree
     * @return text in UTF-8
     */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
